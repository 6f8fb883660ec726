"""The latest datagrams of the other gateways, and the load that they report."""

import attrs

from lentilhaven.core.logs import get_logger
from lentilhaven.peering.directory import FULL_MESH_LIMIT, MEMBER_EXPIRY, Directory
from lentilhaven.peering.load_sums import LoadSums
from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import PeerMessage, Scope
from lentilhaven.peering.queue_state import QueueReport, QueueState
from lentilhaven.peering.queue_sums import QueueSums

#: Seconds without a datagram after which a gateway's load is no longer counted.
LOAD_EXPIRY = 1.5

#: Seconds for which the requests of a silent gateway still count beside the limits of
#: endpoints: it may be cut off from the others only, and go on sending.
SILENT_DEMAND_TIME = 20.0

log = get_logger("peering")


@attrs.define
class Peer:
    """
    The latest datagram of another gateway.

    Attributes
    ----------
    message : PeerMessage
        The datagram.
    received_at : float
        Event loop time at which the datagram arrived, in seconds.
    counted : bool
        Whether its load is in `PeerTable.peer_load`.
    reports_queues : bool
        Whether its process has reported a queue of any service.
    """

    message: PeerMessage
    received_at: float
    counted: bool = True
    reports_queues: bool = False

    def is_fresh(self, now: float) -> bool:
        """Return whether the datagram is recent enough for its load to count."""
        return now - self.received_at < LOAD_EXPIRY

    def queue_report(self, service: str, now: float) -> QueueReport:
        """
        Return what the datagram reports of the queues of a service.

        A gateway that tries to send requests for the service but has never reported a
        queue is of a release that does not report queues.
        """
        message = self.message
        state = message.queues.get(service, QueueState())
        is_active = (message.attempts or {}).get(service, 0.0) > 0.0
        age = now - self.received_at
        if message.scope is Scope.OWN and is_active and not self.reports_queues:
            return QueueReport(None, age)
        return QueueReport(state, age, message.gateways)


@attrs.define
class PeerTable:
    """
    The other gateways, and the combined load that they put on endpoints.

    Attributes
    ----------
    own : Member
        This gateway.
    vm : str
        This VM.
    directory : Directory
        All known gateways.
    peers : dict
        `Peer` by VM, for gateways that report their own load here.
    peer_load : LoadSums
        Load of those gateways in `peers` whose `Peer.counted` is true.
    data_centre_sums : dict
        `Peer` by data centre and then VM of the sender, for sums over a whole data
        centre.
    fleet_sums : dict
        `Peer` by VM of the sender, for sums over all gateways.
    reported_load : LoadSums
        Load of this gateway as it last reported it; sums over all gateways
        contain it.

    Examples
    --------
    >>> table = PeerTable(Member("10.0.0.1:7000"), "vm-1")
    >>> message = PeerMessage("vm-2", "r", "10.0.0.2:7000", 1, loads={"e": (2, 8.0)})
    >>> table.receive(message, now=0.0)
    True
    >>> table.load_of("e", now=0.0), table.count_gateways(now=0.0)
    ((2, 8.0), 2)
    """

    own: Member
    vm: str
    directory: Directory = attrs.field()
    peers: dict[str, Peer] = attrs.field(factory=dict)
    peer_load: LoadSums = attrs.field(factory=LoadSums)
    data_centre_sums: dict[str, dict[str, Peer]] = attrs.field(factory=dict)
    fleet_sums: dict[str, Peer] = attrs.field(factory=dict)
    reported_load: LoadSums = attrs.field(factory=LoadSums)

    @directory.default
    def empty_directory(self) -> Directory:
        """Return a directory without other gateways."""
        return Directory(self.own, full_mesh_limit=FULL_MESH_LIMIT)

    def receive(self, message: PeerMessage, now: float) -> bool:
        """
        Store a datagram that reports load, and record the gateways that it names.

        Parameters
        ----------
        message : PeerMessage
            The datagram of another gateway.
        now : float
            Time of the event loop, in seconds.

        Returns
        -------
        bool
            False if the datagram is ignored: it comes from this VM, or is no newer
            than the previous one of its sender.
        """
        if message.vm == self.vm:
            return False
        previous = self.peers_in_scope(message).get(message.vm)
        if previous is not None and is_stale(message, previous.message):
            return False
        self.directory.note_received(message.sender, now)
        for member in message.members:
            self.directory.note_member(member, now)
        if message.scope in (Scope.PROBE, Scope.MEMBERS):
            return True
        reports_queues = bool(message.queues) or (
            previous is not None
            and previous.message.run == message.run
            and previous.reports_queues
        )
        peer = Peer(message, now, reports_queues=reports_queues)
        self.peers_in_scope(message)[message.vm] = peer
        if message.scope is Scope.OWN:
            if previous is not None and previous.counted:
                self.peer_load.add(previous.message, -1)
            self.peer_load.add(message)
        if previous is None:
            log.info(
                "gateway found",
                peer=message.vm,
                address=message.address,
                scope=message.scope.value,
            )
        return True

    def peers_in_scope(self, message: PeerMessage) -> dict[str, Peer]:
        """Return the dict, by VM, that keeps datagrams of the same scope."""
        if message.scope is Scope.FLEET:
            return self.fleet_sums
        if message.scope is Scope.DATA_CENTRE:
            return self.data_centre_sums.setdefault(message.data_centre, {})
        return self.peers

    def expire(self, now: float) -> None:
        """Stop counting the load of silent gateways, and drop expired entries."""
        for vm, peer in list(self.peers.items()):
            if peer.counted and not peer.is_fresh(now):
                self.peer_load.add(peer.message, -1)
                peer.counted = False
                silent = round(now - peer.received_at, 1)
                log.info("gateway silent", peer=vm, seconds=silent)
        for senders in (self.peers, self.fleet_sums, *self.data_centre_sums.values()):
            for vm, peer in list(senders.items()):
                if now - peer.received_at > MEMBER_EXPIRY:
                    del senders[vm]
        self.directory.expire(now)

    def other_data_centre_sums(self, now: float) -> list[PeerMessage]:
        """Return the best sum of each other data centre."""
        found = [
            best
            for name, senders in self.data_centre_sums.items()
            if name != self.own.data_centre
            and (best := best_sum(senders, now)) is not None
        ]
        return found

    def best_fleet_sum(self, now: float) -> PeerMessage | None:
        """Return the best sum over all gateways; None if `count_summed` is as high."""
        best = best_sum(self.fleet_sums, now)
        if best is None or best.gateways <= self.count_summed(now):
            return None
        return best

    def count_summed(self, now: float) -> int:
        """
        Return how many gateways this one can sum up itself, this one included.

        They are covered by sums of other data centres, or report their own load here.
        """
        others = self.other_data_centre_sums(now)
        fresh = [peer for peer in self.peers_outside(others) if peer.counted]
        return 1 + len(fresh) + sum(message.gateways for message in others)

    def peers_outside(self, sums: list[PeerMessage]) -> list[Peer]:
        """Return the peers whose data centre is covered by none of the sums."""
        covered = {message.data_centre for message in sums}
        return [
            peer
            for peer in self.peers.values()
            if peer.message.data_centre not in covered
        ]

    def load_of(self, endpoint: str, now: float) -> tuple[int, float]:
        """
        Return the load that the other gateways put on an endpoint.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        now : float
            Time of the event loop.

        Returns
        -------
        tuple of (int, float)
            Requests in flight, and their token-layers (see `LoadSums`).
        """
        return self.load_of_others(now).load_of(endpoint)

    def load_of_others(self, now: float) -> LoadSums:
        """
        Return the combined load of all other gateways.

        The result may be `peer_load` itself, so that callers must not change it.
        """
        fleet = self.best_fleet_sum(now)
        if fleet is not None:
            return self.subtract_own_load(fleet)
        others = self.other_data_centre_sums(now)
        if not others:
            return self.peer_load
        total = LoadSums()
        total.merge(self.peer_load)
        for message in others:
            total.add(message)
        return total

    def subtract_own_load(self, fleet: PeerMessage) -> LoadSums:
        """Return a sum over all gateways minus the load that this one reported."""
        total = LoadSums()
        total.add(fleet)
        for endpoint, requests in self.reported_load.requests.items():
            left = max(0, total.requests.get(endpoint, 0) - requests)
            total.requests[endpoint] = left
            token_layers = (
                total.token_layers.get(endpoint, 0.0)
                - self.reported_load.token_layers[endpoint]
            )
            total.token_layers[endpoint] = max(0.0, token_layers)
        for pipe, rate in self.reported_load.pipes.items():
            total.pipes[pipe] = max(0.0, total.pipes.get(pipe, 0.0) - rate)
        for service, rate in self.reported_load.attempts.items():
            left_rate = total.attempts.get(service, 0.0) - rate
            total.attempts[service] = max(0.0, left_rate)
        for endpoint, count in self.reported_load.sent.items():
            total.sent[endpoint] = max(0, total.sent.get(endpoint, 0) - count)
        total.queues.subtract(self.reported_load.queues)
        return total

    def queue_reports(self, service: str, now: float) -> list[QueueReport]:
        """
        Return what other gateways report of their queues of a service, with its age.

        Parameters
        ----------
        service : str
            Name of the service.
        now : float
            Time of the event loop, in seconds.

        Returns
        -------
        list of QueueReport
            One for each gateway that reports here, or one for a sum over several.
            Gateways that are silent for longer than `LOAD_EXPIRY` have none.
        """
        fleet = best_peer(self.fleet_sums, now)
        if fleet is not None and fleet.message.gateways > self.count_summed(now):
            sums = QueueSums()
            sums.add(fleet.message.queues, {})
            sums.subtract(self.reported_load.queues)
            others = fleet.message.gateways - 1
            age = now - fleet.received_at
            return [QueueReport(sums.state_of(service), age, others)]
        sums_of_others = [
            best
            for name, senders in self.data_centre_sums.items()
            if name != self.own.data_centre
            and (best := best_peer(senders, now)) is not None
        ]
        alone = self.peers_outside([peer.message for peer in sums_of_others])
        fresh = [peer for peer in alone if peer.is_fresh(now)]
        return [peer.queue_report(service, now) for peer in (*fresh, *sums_of_others)]

    def reports(self, now: float) -> list[PeerMessage]:
        """Return the fresh datagrams of gateways that report their own state here."""
        return [peer.message for peer in self.peers.values() if peer.is_fresh(now)]

    def demand_of_others(self, service: str, own: float, now: float) -> float:
        """
        Return how often the other gateways try to send requests for a service.

        A gateway that does not tell counts as this one.  One that has fallen silent
        counts with what it last told, for `SILENT_DEMAND_TIME`.

        Parameters
        ----------
        service : str
            Name of the service.
        own : float
            Requests per second at this gateway.
        now : float
            Time of the event loop, in seconds.

        Returns
        -------
        float
            Requests per second.
        """
        loads = self.load_of_others(now)
        demand = loads.attempts.get(service, 0.0) + loads.untold * own
        for peer in self.silent_reports(now):
            demand += (peer.message.attempts or {}).get(service, 0.0)
        return demand

    def silent_reports(self, now: float) -> list[Peer]:
        """
        Return the latest datagrams of gateways that have fallen silent lately.

        Of sums over all gateways the latest counts, if nothing else is heard.
        """
        recent = [
            peer
            for peer in self.peers.values()
            if not peer.counted and now - peer.received_at < SILENT_DEMAND_TIME
        ]
        is_alone = self.count_summed(now) == 1 and self.best_fleet_sum(now) is None
        sums = [
            peer
            for peer in self.fleet_sums.values()
            if now - peer.received_at < SILENT_DEMAND_TIME
        ]
        if is_alone and sums:
            return [max(sums, key=lambda peer: peer.received_at)]
        return recent

    def has_placer(self, now: float) -> bool:
        """Return whether another gateway reports a holder of the placement lease."""
        scopes = (self.peers, self.fleet_sums, *self.data_centre_sums.values())
        return any(
            peer.message.places and peer.is_fresh(now)
            for senders in scopes
            for peer in senders.values()
        )

    def count_gateways(self, now: float) -> int:
        """
        Return the number of known gateways, this one included.

        A gateway that has been silent for less than `MEMBER_EXPIRY` counts, since
        it may still serve callers behind a network partition.
        """
        counts = [
            peer.message.gateways
            for peer in self.fleet_sums.values()
            if now - peer.received_at < MEMBER_EXPIRY
        ]
        return max([self.count_reporting(now), *counts])

    def count_reporting(self, now: float) -> int:
        """Return how many gateways report here, alone or in a sum, plus this one."""
        others = self.other_data_centre_sums(now)
        alone = [
            peer
            for peer in self.peers_outside(others)
            if now - peer.received_at < MEMBER_EXPIRY
        ]
        return 1 + len(alone) + sum(message.gateways for message in others)

    def local_peers(self) -> list[Peer]:
        """Return the peers in this gateway's data centre whose load is counted."""
        return [
            peer
            for peer in self.peers.values()
            if peer.counted and peer.message.data_centre == self.own.data_centre
        ]

    def is_large_fleet(self, now: float) -> bool:
        """Return whether there are too many gateways for each to send to all others."""
        known = max(self.count_gateways(now), 1 + len(self.directory.entries))
        return known > self.directory.full_mesh_limit


def is_stale(message: PeerMessage, previous: PeerMessage) -> bool:
    """Return whether a datagram is no newer than the previous one."""
    return message.run == previous.run and message.number <= previous.number


def best_sum(senders: dict[str, Peer], now: float) -> PeerMessage | None:
    """Return the fresh sum over the most gateways, the latest if several are equal."""
    best = best_peer(senders, now)
    return best.message if best is not None else None


def best_peer(senders: dict[str, Peer], now: float) -> Peer | None:
    """Return the sender of the sum that `best_sum` returns."""
    fresh = [peer for peer in senders.values() if peer.is_fresh(now)]
    return max(
        fresh,
        key=lambda peer: (peer.message.gateways, peer.received_at),
        default=None,
    )
