"""What is known of the other gateways."""

from collections import defaultdict
from collections.abc import Iterable

import attrs

from lentilhaven.core.logs import get_logger
from lentilhaven.peering.news import PeerNews

#: Seconds without a datagram after which a gateway's load counts no longer.
FRESH = 1.5

#: Seconds without a datagram after which a gateway is forgotten.
FORGET = 60.0

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


@attrs.define
class PeerTable:
    """
    The other gateways, and the load that they put on endpoints together.

    Attributes
    ----------
    vm : str
        This VM.
    own_address : str
        Address of this gateway's datagrams.
    peers : dict
        `Peer` by VM.
    requests : dict
        Requests of the others under way, by endpoint.
    tokens : dict
        Tokens times layers that these need, by endpoint.
    pipes : dict
        Tokens per second that the others send through each pipe.
    addresses : dict
        Addresses to which datagrams are sent, each with the time at which it was
        last heard of.

    Examples
    --------
    >>> table = PeerTable("vm-1", "10.0.0.1:7000")
    >>> news = PeerNews("vm-2", "r", "10.0.0.2:7000", 1, loads={"e": (2, 8.0)})
    >>> table.take(news, now=0.0)
    True
    >>> table.requests["e"], table.tokens["e"], table.gateways(now=0.0)
    (2, 8.0, 2)
    """

    vm: str
    own_address: str
    peers: dict[str, Peer] = attrs.field(factory=dict)
    requests: dict[str, int] = attrs.field(factory=lambda: defaultdict(int))
    tokens: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    pipes: dict[str, float] = attrs.field(factory=lambda: defaultdict(float))
    addresses: dict[str, float] = attrs.field(factory=dict)

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
        known = self.peers.get(news.vm)
        if known is None:
            log.info("gateway found", peer=news.vm, address=news.address)
        elif known.news.run == news.run and news.number <= known.news.number:
            return False
        elif known.counted:
            self.count(known.news, -1)
        self.peers[news.vm] = Peer(news, now)
        self.count(news, 1)
        self.add_addresses((news.address,), now)
        for address in news.members:
            if address != self.own_address:
                self.addresses.setdefault(address, now)
        return True

    def add_addresses(self, addresses: Iterable[str], now: float) -> None:
        """Send datagrams to some addresses too."""
        for address in addresses:
            if address != self.own_address:
                self.addresses[address] = now

    def count(self, news: PeerNews, sign: int) -> None:
        """Add a gateway's load to the totals, or take it out."""
        for pipe, rate in news.pipes.items():
            self.pipes[pipe] += sign * rate
        for endpoint, (requests, tokens) in news.loads.items():
            self.requests[endpoint] += sign * requests
            self.tokens[endpoint] += sign * tokens
            if not self.requests[endpoint]:
                del self.requests[endpoint]
                del self.tokens[endpoint]

    def expire(self, now: float) -> None:
        """Leave out the load of gateways that have fallen silent."""
        for vm, peer in list(self.peers.items()):
            if peer.counted and now - peer.heard_at > FRESH:
                self.count(peer.news, -1)
                peer.counted = False
                log.info(
                    "gateway silent", peer=vm, seconds=round(now - peer.heard_at, 1)
                )
            if now - peer.heard_at > FORGET:
                del self.peers[vm]
        for address, heard_at in list(self.addresses.items()):
            if now - heard_at > FORGET:
                del self.addresses[address]

    def has_placer(self, now: float) -> bool:
        """Return whether another gateway says that it holds the lease."""
        return any(
            it.news.places and now - it.heard_at < FRESH for it in self.peers.values()
        )

    def gateways(self, now: float) -> int:
        """
        Return how many gateways there are, this one included.

        One that has been silent for less than `FORGET` counts: it may serve
        callers behind a partition.
        """
        recent = [it for it in self.peers.values() if now - it.heard_at < FORGET]
        return 1 + len(recent)
