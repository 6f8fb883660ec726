"""Sends and receives the datagrams between gateways."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import cast

import attrs

from lentilhaven.fleet.endpoint_history import EndpointChanges
from lentilhaven.gateway.connection_factories import OpenDatagrams
from lentilhaven.gateway.crash_checks import (
    merge_evidence,
    refute_ends,
    refute_listed,
    settle_runs,
)
from lentilhaven.gateway.endpoint_states import REFUTE_MARGIN
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.message_composer import MessageComposer
from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import (
    PeerMessage,
    Scope,
    decode_message,
    encode_message,
)
from lentilhaven.rate_limits import NamedLimit

#: Seconds between two datagrams to the same gateway.
SEND_INTERVAL = 0.1

#: Seconds by which an urgent datagram is delayed so that it reports further events
#: too: one failure is noticed by many requests.
URGENT_DELAY = 0.01

#: Seconds added to the interval for each other gateway of a small fleet, so that
#: the traffic to a gateway grows more slowly than the number of gateways.
INTERVAL_PER_PEER = 0.004

#: Seconds that a leader of a large fleet adds to the interval for each gateway that
#: reports to it: at 366 of them, a third of 1,100, it decodes 800 datagrams a second.
INTERVAL_PER_REPORTER = 0.001

#: Seconds without a fleet-wide sum from the first leader after which every leader
#: is asked for such a sum; by then three datagrams are missing.
LEADER_TIMEOUT = 0.4

#: One in this many reports also asks the other leaders for an answer, to show that
#: they are alive; they answer twice within the time after which a leader is
#: considered unresponsive.
STANDBY_ANSWER_PERIOD = 4

#: Seconds between two sums of a data centre that go to all leaders of the others.  The
#: first leaders tell the second ones all that they learn, so that these are sent less,
#: but often enough to count as responsive and to take over without a gap.
STANDBY_SUM_INTERVAL = 0.4

#: Seconds between two probes of randomly chosen gateways in a large fleet.
PROBE_INTERVAL = 1.0

#: One in this many rounds of probes includes other data centres if the gateway does not
#: lead: the probes of leaders are enough for parts of a fleet to find each other.
REMOTE_PROBE_PERIOD = 4


@attrs.define(eq=False)
class PeerExchange(asyncio.DatagramProtocol):
    """
    One gateway's end of the datagram exchange.

    In a small fleet each gateway sends its own state to all others.  In a large
    fleet each gateway sends its state to the leaders of its data centre.  The leaders
    sum up what they receive, exchange their sums, and send the fleet-wide sum to
    every gateway that reports to them.

    Attributes
    ----------
    gateway : Gateway
        State of the process.
    composer : MessageComposer
        Composes the datagrams.
    transport : asyncio.DatagramTransport or None
        The socket; None until it is open.
    probed_at : float
        Event loop time of the last probe of a randomly chosen gateway, in seconds.
    probe_count : int
        Number of rounds of probes.
    report_count : int
        Number of times that this gateway has reported its load to the leaders.
    sum_sent_at : float
        Event loop time of the last sum that went to all leaders of the other data
        centres, in seconds.
    """

    gateway: Gateway
    composer: MessageComposer = attrs.field()
    transport: asyncio.DatagramTransport | None = None
    probed_at: float = 0.0
    probe_count: int = 0
    report_count: int = 0
    sum_sent_at: float = 0.0

    @composer.default
    def make_composer(self) -> MessageComposer:
        """Return the composer of this gateway's datagrams."""
        return MessageComposer(self.gateway)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport for sending."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Process a datagram of another gateway, and answer a probe."""
        message = decode_message(data)
        if message is None:
            return
        now = asyncio.get_running_loop().time()
        if not self.gateway.peers.receive(message, now):
            return
        if merge_state(
            self.gateway, message, now
        ) and self.gateway.peers.is_large_fleet(now):
            self.gateway.urgent_signal.notify()
        self.gateway.queues.notify_room()
        if message.scope is Scope.PROBE:
            self.send(Scope.MEMBERS, [message.address], now)

    def error_received(self, exc: Exception) -> None:
        """Ignore send errors: a peer that is down refuses datagrams."""

    async def run(self) -> None:
        """Send datagrams at each interval and after urgent events, until cancelled."""
        gateway = self.gateway
        loop = asyncio.get_running_loop()
        while True:
            urgent = await gateway.urgent_signal.wait(self.interval(loop.time()))
            if urgent:
                await asyncio.sleep(URGENT_DELAY)
            gateway.peers.expire(loop.time())
            gateway.queues.note_reports(gateway.peers.queue_reports, loop.time())
            gateway.observe_demand(loop.time())
            refute_ends(gateway, loop.time())
            refute_listed(gateway)
            settle_runs(gateway, loop.time())
            self.send_due(urgent)

    def interval(self, now: float) -> float:
        """Return the seconds between two datagrams to the same gateway."""
        peers = self.gateway.peers
        if not peers.is_large_fleet(now):
            return SEND_INTERVAL + INTERVAL_PER_PEER * len(peers.directory.entries)
        return SEND_INTERVAL + INTERVAL_PER_REPORTER * len(peers.peers)

    def send_due(self, urgent: bool = False) -> None:
        """Send each datagram that is due to its receivers."""
        now = asyncio.get_running_loop().time()
        peers = self.gateway.peers
        directory = peers.directory
        if not peers.is_large_fleet(now):
            self.send(Scope.OWN, directory.addresses(), now)
            return
        own = peers.own
        leaders = directory.leaders(own.data_centre, now)
        self.report([leader.address for leader in leaders if leader != own], now)
        if own in leaders:
            is_first = leaders[0] == own
            wanted = urgent or not (is_first or self.is_heard(leaders[0].address, now))
            if wanted or now - self.sum_sent_at >= STANDBY_SUM_INTERVAL:
                self.sum_sent_at = now
                self.send(Scope.DATA_CENTRE, self.remote_leaders(now), now)
            elif is_first:
                self.send(Scope.DATA_CENTRE, self.first_remote_leaders(now), now)
        asking = [
            peer.message.address
            for peer in peers.peers.values()
            if peer.is_fresh(now) and peer.message.wants_answer
        ]
        self.send(Scope.FLEET, asking, now)
        if now - self.probed_at > PROBE_INTERVAL:
            self.probed_at = now
            self.send(Scope.PROBE, self.pick_probe_targets(now), now)

    def report(self, leaders: Sequence[str], now: float) -> None:
        """
        Report the load of this gateway to the leaders.

        The first leader answers each report.  The others answer one report in
        `STANDBY_ANSWER_PERIOD`, which shows that they are alive, and every report
        once the first leader is silent.
        """
        if not leaders:
            return
        self.report_count += 1
        message = self.composer.compose(Scope.OWN, now)
        self.send_message(message, leaders[:1], now)
        silent = not self.is_heard(leaders[0], now)
        wants_answer = silent or self.report_count % STANDBY_ANSWER_PERIOD == 0
        standby_message = attrs.evolve(message, wants_answer=wants_answer)
        self.send_message(standby_message, leaders[1:], now)

    def is_heard(self, leader: str, now: float) -> bool:
        """Return whether a leader, by address, has sent a fleet-wide sum recently."""
        return any(
            peer.message.address == leader and now - peer.received_at <= LEADER_TIMEOUT
            for peer in self.gateway.peers.fleet_sums.values()
        )

    def first_remote_leaders(self, now: float) -> list[str]:
        """Return the addresses of the first leader of each other data centre."""
        directory = self.gateway.peers.directory
        others = directory.data_centres() - {directory.own.data_centre}
        return [it.address for name in others for it in directory.leaders(name, now, 1)]

    def remote_leaders(self, now: float) -> list[str]:
        """
        Return the addresses to which a leader sends its data centre's sum.

        These are the leaders of the other data centres, and the gateways that have
        recently sent the sum of a data centre themselves.
        """
        peers = self.gateway.peers
        directory = peers.directory
        found = {
            leader.address
            for name in directory.data_centres() - {peers.own.data_centre}
            for leader in directory.leaders(name, now)
        }
        for senders in peers.data_centre_sums.values():
            found |= {
                peer.message.address for peer in senders.values() if peer.is_fresh(now)
            }
        return sorted(found)

    def pick_probe_targets(self, now: float) -> list[str]:
        """
        Return the addresses of a random seed from the settings and a random gateway.

        Through these probes, groups of gateways that know only each other discover
        the rest.
        """
        gateway = self.gateway
        directory = gateway.peers.directory
        seeds = self.seed_addresses()
        known = directory.addresses()
        found = {
            gateway.random.choice(addresses)
            for addresses in (seeds, known)
            if addresses
        }
        found -= {gateway.peers.own.address}
        self.probe_count += 1
        stays = self.probe_count % REMOTE_PROBE_PERIOD and not directory.is_leader(now)
        if stays:
            found = {it for it in found if not directory.is_remote(it)}
        return sorted(found)

    def seed_addresses(self) -> list[str]:
        """Return the datagram addresses of the seeds, which use this gateway's port."""
        settings = self.gateway.settings
        port = settings.internal_ports[0]
        return [f"{seed.rpartition(':')[0]}:{port}" for seed in settings.seeds]

    def send(self, scope: Scope, addresses: Sequence[str], now: float) -> None:
        """Compose a datagram and send it to some gateways."""
        if addresses:
            self.send_message(self.composer.compose(scope, now), addresses, now)

    def send_message(
        self, message: PeerMessage, addresses: Sequence[str], now: float
    ) -> None:
        """Send one datagram to some gateways."""
        if self.transport is None or not addresses:
            return
        data = encode_message(message)
        for address in addresses:
            host, _, port = address.rpartition(":")
            self.transport.sendto(data, (host, int(port)))
            self.gateway.peers.directory.note_sent(address, now)


def merge_state(gateway: Gateway, message: PeerMessage, now: float) -> bool:
    """
    Merge a datagram into the state of this gateway.

    Returns
    -------
    bool
        Whether the datagram reports a suspicion of an endpoint that was not suspected
        before, or evidence of what ends endpoints that was not known.
    """
    gateway.peers_store_read_at = max(
        gateway.peers_store_read_at, now - message.checked
    )
    merge_store_state(gateway, message, now)
    endpoints = gateway.view.endpoints
    distance = message.scope.distance
    for name, age in message.heard.items():
        endpoint = endpoints.get(name)
        if endpoint is not None:
            gateway.endpoint_states.of(endpoint).note_heard(now - age, distance)
    for name, (slowdown, age) in message.paces.items():
        endpoint = endpoints.get(name)
        if endpoint is not None:
            state = gateway.endpoint_states.of(endpoint)
            state.note_pace(slowdown, now - age, distance)
    is_new = merge_evidence(gateway, message, now)
    is_new |= merge_limits(gateway, message, now)
    for name, (age, left) in message.suspects.items():
        endpoint = endpoints.get(name)
        if endpoint is None:
            continue
        state = gateway.endpoint_states.of(endpoint)
        # The peer may not know of an event that came after its suspicion began.
        if state.heard_at <= now - age + REFUTE_MARGIN:
            is_new |= state.note_suspicion(now - age, now + left, distance)
    return is_new


def merge_limits(gateway: Gateway, message: PeerMessage, now: float) -> bool:
    """Merge the limits of endpoints; return whether one is new or lower."""
    is_new = False
    for incarnation, limit in message.limits.items():
        endpoint = gateway.view.endpoints.get(incarnation[0])
        if endpoint is None or endpoint.incarnation != incarnation:
            continue
        over_since = None if limit.over is None else now - limit.over
        named = NamedLimit(
            limit.rate, now - limit.age, over_since, message.scope.distance
        )
        is_new |= gateway.endpoint_states.of(endpoint).note_limit(named)
    return is_new


def merge_store_state(gateway: Gateway, message: PeerMessage, now: float) -> None:
    """Apply what a datagram says about the store and about leaving endpoints."""
    view = gateway.view
    if message.era is not None:
        view.era.learn(message.era, message.vm)
    if message.changes is not None:
        apply_changes(gateway, message, message.changes)
    for incarnation in message.leaving:
        view.mark_leaving(incarnation, message.vm)
    if is_ahead(gateway, message):
        gateway.gateways_ahead.setdefault(message.vm, (message, now))
        gateway.behind_signal.notify()
    else:
        gateway.gateways_ahead.pop(message.vm, None)


def apply_changes(
    gateway: Gateway, message: PeerMessage, changes: EndpointChanges
) -> None:
    """Apply the changes of endpoints that another gateway reports."""
    if message.era is None:
        era = gateway.view.era.position(None, 0).era
        changes = attrs.evolve(
            changes,
            since=attrs.evolve(changes.since, era=era),
            until=attrs.evolve(changes.until, era=era),
        )
    gateway.view.apply_peer_changes(changes, message.vm)


def is_ahead(gateway: Gateway, message: PeerMessage) -> bool:
    """
    Return whether newer state can be fetched from another gateway.

    A newer position of the same endpoints does not count, and neither does a gateway
    that states no address from which to fetch its state.
    """
    view = gateway.view
    if not message.relay:
        return False
    if has_newer_manifest(gateway, message):
        return True
    position = view.era.position(message.era, message.endpoints_revision)
    return position > view.endpoints_position and message.digest != gateway.digest


def has_newer_manifest(gateway: Gateway, message: PeerMessage) -> bool:
    """Return whether the sender of a datagram holds a newer manifest."""
    view = gateway.view
    if message.manifest_version is None:
        # A release that compares manifests by revision.
        position = view.era.position(None, message.manifest_revision)
        return position > view.manifest_position
    return message.manifest_version > (view.manifest.version if view.manifest else 0)


@asynccontextmanager
async def open_peer_exchange(
    gateway: Gateway, open_datagrams: OpenDatagrams
) -> AsyncIterator[PeerExchange]:
    """
    Exchange datagrams with the other gateways until the context ends.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    open_datagrams : callable
        Opens the socket.
    """
    loop = asyncio.get_running_loop()
    host, _, port = gateway.peers.own.address.rpartition(":")
    protocol = PeerExchange(gateway)
    transport, _ = await open_datagrams(lambda: protocol, host, int(port))
    for seed in protocol.seed_addresses():
        gateway.peers.directory.note_member(Member(seed), loop.time())
    try:
        yield protocol
    finally:
        transport.close()
