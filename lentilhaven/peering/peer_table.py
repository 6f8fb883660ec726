"""What is known of the other gateways."""

import attrs

from lentilhaven.core.logs import get_logger
from lentilhaven.peering.directory import FORGET, SMALL_FLEET, Directory
from lentilhaven.peering.load_sums import LoadSums
from lentilhaven.peering.member import Member
from lentilhaven.peering.news import PeerNews, Scope

#: Seconds without a datagram after which a gateway's load counts no longer.
FRESH = 1.5

log = get_logger("peering")


@attrs.define
class Peer:
    """
    Another gateway.

    Attributes
    ----------
    news : PeerNews
        Its newest datagram.
    heard_at : float
        When it arrived, in seconds of the event loop.
    counted : bool
        Whether its load is in the totals.
    """

    news: PeerNews
    heard_at: float
    counted: bool = True

    def is_fresh(self, now: float) -> bool:
        """Return whether what it says still counts."""
        return now - self.heard_at < FRESH


@attrs.define
class PeerTable:
    """
    The other gateways, and the load that they put on endpoints together.

    Attributes
    ----------
    own : Member
        This gateway.
    vm : str
        This VM.
    directory : Directory
        Gateways that are known.
    peers : dict
        `Peer` by VM: what single gateways say of themselves.
    sums : LoadSums
        Load of these.
    data_centres : dict
        Sums of whole data centres: `Peer` by data centre and VM of who says it.
    fleets : dict
        Sums of all gateways: `Peer` by VM of who says it.
    told : LoadSums
        Own load as it was last told, which the sums of all contain.

    Examples
    --------
    >>> table = PeerTable(Member("10.0.0.1:7000"), "vm-1")
    >>> news = PeerNews("vm-2", "r", "10.0.0.2:7000", 1, loads={"e": (2, 8.0)})
    >>> table.take(news, now=0.0)
    True
    >>> table.load_of("e", now=0.0), table.gateways(now=0.0)
    ((2, 8.0), 2)
    """

    own: Member
    vm: str
    directory: Directory = attrs.field()
    peers: dict[str, Peer] = attrs.field(factory=dict)
    sums: LoadSums = attrs.field(factory=LoadSums)
    data_centres: dict[str, dict[str, Peer]] = attrs.field(factory=dict)
    fleets: dict[str, Peer] = attrs.field(factory=dict)
    told: LoadSums = attrs.field(factory=LoadSums)

    @directory.default
    def empty_directory(self) -> Directory:
        """Return a directory without other gateways."""
        return Directory(self.own, small_fleet=SMALL_FLEET)

    def take(self, news: PeerNews, now: float) -> bool:
        """
        Take a datagram, and return whether it is newer than the last.

        Parameters
        ----------
        news : PeerNews
            What another gateway says.
        now : float
            Time of the event loop.
        """
        if news.vm == self.vm:
            return False
        known = self.shelf_of(news).get(news.vm)
        if known is not None and is_older(news, known.news):
            return False
        self.directory.note_heard(news.sender, now)
        for member in news.members:
            self.directory.name(member, now)
        if news.scope in (Scope.PROBE, Scope.MEMBERS):
            return True
        self.shelf_of(news)[news.vm] = Peer(news, now)
        if news.scope is Scope.OWN:
            if known is not None and known.counted:
                self.sums.add(known.news, -1)
            self.sums.add(news)
        if known is None:
            log.info(
                "gateway found",
                peer=news.vm,
                address=news.address,
                scope=news.scope.value,
            )
        return True

    def shelf_of(self, news: PeerNews) -> dict[str, Peer]:
        """Return where datagrams of its scope are kept."""
        if news.scope is Scope.FLEET:
            return self.fleets
        if news.scope is Scope.DATA_CENTRE:
            return self.data_centres.setdefault(news.data_centre, {})
        return self.peers

    def expire(self, now: float) -> None:
        """Leave out the load of gateways that have fallen silent."""
        for vm, peer in list(self.peers.items()):
            if peer.counted and not peer.is_fresh(now):
                self.sums.add(peer.news, -1)
                peer.counted = False
                silent = round(now - peer.heard_at, 1)
                log.info("gateway silent", peer=vm, seconds=silent)
        for shelf in (self.peers, self.fleets, *self.data_centres.values()):
            for vm, peer in list(shelf.items()):
                if now - peer.heard_at > FORGET:
                    del shelf[vm]
        self.directory.expire(now)

    def other_data_centres(self, now: float) -> list[PeerNews]:
        """Return the best sum of each other data centre."""
        found = [
            best
            for name, shelf in self.data_centres.items()
            if name != self.own.data_centre and (best := widest(shelf, now)) is not None
        ]
        return found

    def best_fleet(self, now: float) -> PeerNews | None:
        """Return the sum of all gateways to go by; None if own sums know more."""
        best = widest(self.fleets, now)
        if best is None or best.gateways <= self.summed(now):
            return None
        return best

    def summed(self, now: float) -> int:
        """Return how many gateways the own sums contain, this one included."""
        others = self.other_data_centres(now)
        fresh = [it for it in self.single(others) if it.counted]
        return 1 + len(fresh) + sum(it.gateways for it in others)

    def single(self, sums: list[PeerNews]) -> list[Peer]:
        """Return the gateways that report here and are in none of some sums."""
        covered = {it.data_centre for it in sums}
        return [it for it in self.peers.values() if it.news.data_centre not in covered]

    def load_of(self, endpoint: str, now: float) -> tuple[int, float]:
        """
        Return what the other gateways have under way at an endpoint.

        Parameters
        ----------
        endpoint : str
            Its id.
        now : float
            Time of the event loop.

        Returns
        -------
        tuple of (int, float)
            Requests, and their tokens times layers.
        """
        return self.others(now).of(endpoint)

    def others(self, now: float) -> LoadSums:
        """Return the load of all other gateways together."""
        fleet = self.best_fleet(now)
        if fleet is not None:
            return self.without_own(fleet)
        others = self.other_data_centres(now)
        if not others:
            return self.sums
        total = LoadSums()
        total.merge(self.sums)
        for news in others:
            total.add(news)
        return total

    def without_own(self, fleet: PeerNews) -> LoadSums:
        """Return a sum of all gateways less what this one has told."""
        total = LoadSums()
        total.add(fleet)
        for endpoint, requests in self.told.requests.items():
            left = max(0, total.requests.get(endpoint, 0) - requests)
            total.requests[endpoint] = left
            tokens = total.tokens.get(endpoint, 0.0) - self.told.tokens[endpoint]
            total.tokens[endpoint] = max(0.0, tokens)
        for pipe, rate in self.told.pipes.items():
            total.pipes[pipe] = max(0.0, total.pipes.get(pipe, 0.0) - rate)
        return total

    def has_placer(self, now: float) -> bool:
        """Return whether another gateway says that it holds the lease."""
        shelves = (self.peers, self.fleets, *self.data_centres.values())
        return any(
            peer.news.places and peer.is_fresh(now)
            for shelf in shelves
            for peer in shelf.values()
        )

    def gateways(self, now: float) -> int:
        """
        Return how many gateways there are, this one included.

        One that has been silent for less than `FORGET` counts: it may serve
        callers behind a partition.
        """
        told = [
            it.news.gateways
            for it in self.fleets.values()
            if now - it.heard_at < FORGET
        ]
        return max([self.reporting(now), *told])

    def reporting(self, now: float) -> int:
        """Return how many gateways report here, by themselves or in a sum."""
        others = self.other_data_centres(now)
        single = [it for it in self.single(others) if now - it.heard_at < FORGET]
        return 1 + len(single) + sum(it.gateways for it in others)

    def reporting_nearby(self) -> list[Peer]:
        """Return the gateways of the own data centre whose load is counted."""
        return [
            it
            for it in self.peers.values()
            if it.counted and it.news.data_centre == self.own.data_centre
        ]

    def is_large(self, now: float) -> bool:
        """Return whether there are too many gateways for all to talk to all."""
        known = max(self.gateways(now), 1 + len(self.directory.listed))
        return known > self.directory.small_fleet


def is_older(news: PeerNews, known: PeerNews) -> bool:
    """Return whether a datagram is not newer than a known one."""
    return news.run == known.run and news.number <= known.number


def widest(shelf: dict[str, Peer], now: float) -> PeerNews | None:
    """Return the latest sum of most gateways."""
    fresh = [peer for peer in shelf.values() if peer.is_fresh(now)]
    found = max(fresh, key=lambda it: (it.news.gateways, it.heard_at), default=None)
    return found.news if found is not None else None
