"""
Connecting a gateway to endpoints, if need be through other gateways.

This connects the state of a gateway to `lentilhaven.links`.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial

from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import report_task_failure
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.links.handshake import (
    TunnelError,
    TunnelRefusedError,
    TunnelRequest,
)
from lentilhaven.links.race import RaceOutcome, race
from lentilhaven.links.relay_choice import RelayCandidate, choose_relays
from lentilhaven.links.tunnel_client import open_tunnel
from lentilhaven.links.tunnel_server import TunnelServer, open_tunnel_listener
from lentilhaven.upstream.connect import Connect
from lentilhaven.upstream.connection import UpstreamConnection

#: Seconds for which a connection may take before the next way is tried beside it: many
#: round trips between data centres.
LINK_PATIENCE = 0.1

#: Seconds from one check of a link to the next, and timeout of a check.
CHECK_INTERVAL, CHECK_TIMEOUT = 1.0, 0.4

#: Seconds between two rounds of connections over links that are gone, and the maximum
#: number of endpoints in a round.
PROBE_INTERVAL, PROBES_PER_ROUND = 0.5, 6

#: Seconds for which an endpoint may take to answer a request before the link to it is
#: checked.
SLOW_ANSWER_TIME = 0.2

#: Number of further gateways that are considered in a large fleet, where it is not
#: known which of them reach an endpoint.
UNKNOWN_RELAYS = 8

#: Share of the file descriptors of a process for connections of other gateways, each of
#: which takes two.
TUNNEL_SHARE = 1 / 16

#: Number of endpoints that another gateway must reach in addition for a gateway to
#: leave the placement of layers to it.
PLACEMENT_MARGIN = 2

log = get_logger("links")


def unreached_endpoints(gateway: Gateway) -> list[Endpoint]:
    """Return the endpoints to which this gateway's own links are gone."""
    states = gateway.endpoint_states.states
    return [
        endpoint
        for endpoint in gateway.view.endpoints.values()
        if (state := states.get(endpoint.incarnation)) is not None
        and state.unreached_since is not None
    ]


def relays_to(gateway: Gateway, endpoint: Endpoint, now: float) -> list[str]:
    """Return the addresses of gateways to ask for a connection to an endpoint."""
    peers = gateway.peers
    candidates = {
        message.address: RelayCandidate(
            message.address,
            message.data_centre,
            endpoint.incarnation not in message.unreached,
        )
        for message in peers.reports(now)
        if message.ready and message.unreached is not None
    }
    if peers.is_large_fleet(now):
        members = [entry.member for entry in peers.directory.entries.values()]
        count = min(UNKNOWN_RELAYS, len(members))
        for member in gateway.random.sample(members, count):
            candidates.setdefault(
                member.address, RelayCandidate(member.address, member.data_centre)
            )
    data_centres = (endpoint.data_centre, gateway.settings.data_centre)
    return choose_relays(candidates.values(), data_centres, gateway.random)


def is_cut_off(gateway: Gateway, endpoint: Endpoint) -> bool:
    """Return whether this gateway's own link to an endpoint is gone."""
    return gateway.endpoint_states.of(endpoint).unreached_since is not None


def may_reuse(
    gateway: Gateway, endpoint: Endpoint, connection: UpstreamConnection
) -> bool:
    """
    Return whether an idle connection may carry a request now.

    While the link is there, its own connections are used.  While it is gone, open ones
    may live on: they are used once data have arrived on one of them.
    """
    since = gateway.endpoint_states.of(endpoint).unreached_since
    if since is None:
        return not connection.relayed
    return connection.relayed or connection.activity.at > since


async def connect_any_way(gateway: Gateway, endpoint: Endpoint) -> UpstreamConnection:
    """
    Return a connection to an endpoint, through another gateway if need be.

    If the own link does not connect but another gateway does, the endpoint is not at
    fault.

    Raises
    ------
    ConnectionRefusedError
        If nothing listens on the endpoint's port, also as another gateway says, unless
        no other gateway is known.
    OSError
        If there is no way to the endpoint.
    """
    loop = asyncio.get_running_loop()
    relays = relays_to(gateway, endpoint, loop.time())
    direct = partial(gateway.pool.connect_directly, endpoint)
    if not relays:
        return await direct()
    tunnels = [partial(connect_through, gateway, endpoint, it) for it in relays]
    was_cut_off = is_cut_off(gateway, endpoint)
    ways = [*tunnels, direct] if was_cut_off else [direct, *tunnels]
    outcome = await race(ways, LINK_PATIENCE, says_refused, discard_connection)
    if outcome.result is None:
        raise failure_of(gateway, endpoint, outcome)
    if outcome.result.relayed:
        if not was_cut_off:
            note_unreached(gateway, endpoint)
    else:
        note_reached(gateway, endpoint)
    return outcome.result


def discard_connection(connection: UpstreamConnection) -> None:
    """Close a connection that is not needed."""
    connection.abort()


def says_refused(error: Exception) -> bool:
    """Return whether another gateway says that nothing listens at the endpoint."""
    if not isinstance(error, TunnelRefusedError):
        return False
    return error.reason is TunnelError.REFUSED


def failure_of(
    gateway: Gateway, endpoint: Endpoint, outcome: RaceOutcome[UpstreamConnection]
) -> OSError:
    """
    Return the error of a connection for which there was no way.

    A gateway that is cut off may be refused connections to endpoints that are there.
    """
    errors = list(outcome.errors.values())
    if any(says_refused(it) for it in errors) and not unreached_endpoints(gateway):
        return ConnectionRefusedError(f"nothing listens at {endpoint.address}")
    details = "; ".join(f"{type(it).__name__}: {it}" for it in errors)
    return ConnectionError(f"no way to {endpoint.address}: {details}")


async def connect_through(
    gateway: Gateway, endpoint: Endpoint, relay: str
) -> UpstreamConnection:
    """
    Return a connection to an endpoint through another gateway.

    Raises
    ------
    OSError
        If the other gateway can't be reached, or does not connect the endpoint.
    """
    connection = gateway.pool.make_connection(endpoint, relayed=True)
    request = TunnelRequest(endpoint.incarnation, gateway.settings.vm)
    await open_tunnel(gateway.pool.connect, relay, request, connection)
    return connection


def note_unreached(gateway: Gateway, endpoint: Endpoint) -> None:
    """Record that the link to an endpoint is gone, which others reach."""
    now = asyncio.get_running_loop().time()
    state = gateway.endpoint_states.of(endpoint)
    if state.unreached_since is not None:
        return
    state.unreached_since = now
    state.end_own_suspicion()
    gateway.urgent_signal.notify()
    log.warning(
        "link to endpoint lost",
        endpoint=endpoint.id,
        address=endpoint.address,
        heard_here=round(now - state.heard_within[0], 3),
        heard=round(now - state.heard_at, 3),
    )


def note_reached(gateway: Gateway, endpoint: Endpoint) -> None:
    """Record that the link to an endpoint is there."""
    state = gateway.endpoint_states.of(endpoint)
    if state.unreached_since is None:
        return
    now = asyncio.get_running_loop().time()
    seconds = round(now - state.unreached_since, 3)
    state.unreached_since = None
    gateway.urgent_signal.notify()
    log.info("link to endpoint regained", endpoint=endpoint.id, seconds=seconds)


def begin_link_check(gateway: Gateway, endpoint: Endpoint) -> None:
    """
    Begin to check the link to a silent endpoint, unless that was done lately.

    A link on which data arrive is there: a check of each slow answer would cost an
    endpoint a connection when it can bear it least.
    """
    now = asyncio.get_running_loop().time()
    state = gateway.endpoint_states.of(endpoint)
    if now - state.link_checked_at < CHECK_INTERVAL:
        return
    activity = gateway.pool.activities.get(endpoint.incarnation)
    if activity is not None and now - activity.at < SLOW_ANSWER_TIME:
        return
    if not relays_to(gateway, endpoint, now):
        return
    state.link_checked_at = now
    task = asyncio.ensure_future(check_link(gateway, endpoint))
    gateway.link_checks.add(task)
    task.add_done_callback(gateway.link_checks.discard)
    task.add_done_callback(report_task_failure)


async def check_link(gateway: Gateway, endpoint: Endpoint) -> None:
    """Make a connection to an endpoint, which shows whether the own link is there."""
    try:
        async with asyncio.timeout(CHECK_TIMEOUT):
            connection = await connect_any_way(gateway, endpoint)
    except (OSError, TimeoutError) as error:
        detail = f"{type(error).__name__}: {error}"
        log.info("endpoint not reached by any way", endpoint=endpoint.id, detail=detail)
        return
    gateway.pool.release(endpoint, connection)


async def probe_links(gateway: Gateway) -> None:
    """
    Try the links that are gone again and again, until cancelled.

    While some are gone, links to other endpoints are checked too.
    """
    while True:
        await asyncio.sleep(PROBE_INTERVAL)
        unreached = unreached_endpoints(gateway)
        if not unreached:
            continue
        gateway.random.shuffle(unreached)
        probes = [probe_link(gateway, it) for it in unreached[:PROBES_PER_ROUND]]
        found = await asyncio.gather(*probes)
        if any(found):
            # The cut is probably over.
            rest = unreached[PROBES_PER_ROUND:]
            await asyncio.gather(*(probe_link(gateway, it) for it in rest))
            continue
        others = [
            it for it in gateway.view.endpoints.values() if not is_cut_off(gateway, it)
        ]
        if others:
            begin_link_check(gateway, gateway.random.choice(others))


async def probe_link(gateway: Gateway, endpoint: Endpoint) -> bool:
    """Connect over the own link to an endpoint; return whether that succeeded."""
    try:
        async with asyncio.timeout(LINK_PATIENCE):
            connection = await gateway.pool.connect_directly(endpoint)
    except (OSError, TimeoutError):
        return False
    note_reached(gateway, endpoint)
    gateway.pool.release(endpoint, connection)
    return True


def leaves_placement(gateway: Gateway, now: float) -> bool:
    """Return whether another gateway reaches more endpoints than this one."""
    own = len(unreached_endpoints(gateway))
    if own < PLACEMENT_MARGIN:
        return False
    return any(
        message.ready
        and message.unreached is not None
        and own - len(message.unreached) >= PLACEMENT_MARGIN
        for message in gateway.peers.reports(now)
    )


def find_requested(gateway: Gateway, request: TunnelRequest) -> Endpoint | TunnelError:
    """Return the endpoint to connect another gateway to, or why it is not connected."""
    endpoint = gateway.view.endpoints.get(request.incarnation[0])
    if endpoint is None or endpoint.incarnation != request.incarnation:
        return TunnelError.UNKNOWN
    if endpoint.draining or not gateway.accepts_new_work(endpoint):
        return TunnelError.UNKNOWN
    if is_cut_off(gateway, endpoint):
        return TunnelError.UNREACHED
    return endpoint


def make_tunnel_server(gateway: Gateway, connect: Connect) -> TunnelServer:
    """Return what connects other gateways to endpoints."""
    return TunnelServer(
        partial(find_requested, gateway),
        connect,
        max(1, int(gateway.settings.open_files * TUNNEL_SHARE)),
        is_leaving=lambda: gateway.leaving,
        is_doubtful=lambda: bool(unreached_endpoints(gateway)),
        on_end=gateway.request_finished.notify,
    )


@asynccontextmanager
async def serving_other_gateways(
    gateway: Gateway, connect: Connect
) -> AsyncIterator[None]:
    """
    Connect other gateways to endpoints, and this one through them, until the end.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    connect : callable
        Opens TCP connections.
    """
    pool = gateway.pool
    pool.connect = connect
    pool.establish = partial(connect_any_way, gateway)
    pool.may_reuse = partial(may_reuse, gateway)
    host, _, port = gateway.peers.own.address.rpartition(":")
    server = make_tunnel_server(gateway, connect)
    gateway.tunnels = server.tunnels
    gateway.retire_tunnels = server.announce_leaving
    async with open_tunnel_listener(server, host, int(port)):
        yield
