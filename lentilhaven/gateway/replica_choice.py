"""Chooses the replica of a plain service for a request."""

from collections.abc import Collection

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.locality.replica_preference import prefer_local

#: Latency assumed for an endpoint that has not responded yet, in seconds.
DEFAULT_LATENCY = 0.02

#: Latency added for an endpoint in another data centre, in seconds: one round trip.
REMOTE_LATENCY = 0.0015

#: Weight of the failure rate in an endpoint's expected latency.  If half of its
#: requests fail, the latency counts three times, so that other endpoints get nearly
#: all requests.
FAILURE_WEIGHT = 4.0


def usable_replicas(
    gateway: Gateway, service: str, tried: Collection[str]
) -> list[Endpoint]:
    """Return the replicas that want requests and have not got this one yet."""
    return [
        it
        for it in gateway.view.of_service(service)
        if it.id not in tried and gateway.accepts_new_work(it)
    ]


def choose_replica(
    gateway: Gateway, candidates: Collection[Endpoint], now: float
) -> Endpoint | None:
    """
    Return the replica with the shortest expected wait.

    One in the gateway's own data centre comes first while it has free slots, unless
    the wait there is much longer.

    Parameters
    ----------
    gateway : Gateway
        Holds the observed state of the replicas.
    candidates : collection of Endpoint
        The replicas that may be sent the request.
    now : float
        Time of the event loop, in seconds.

    Returns
    -------
    Endpoint or None
        None without a candidate.  A replica that is suspected or has recently refused
        a request is chosen only if no other is left.
    """
    if not candidates:
        return None
    available = [
        it for it in candidates if gateway.endpoint_states.of(it).available(now)
    ]
    waits = [(expected_wait(gateway, it), it) for it in available or candidates]

    def count_requests(endpoint: Endpoint) -> int:
        others, _ = gateway.peers.load_of(endpoint.id, now)
        return gateway.endpoint_states.of(endpoint).requests + others

    return prefer_local(waits, gateway.settings.data_centre, count_requests)


def pause_left(
    gateway: Gateway, service: str, tried: Collection[str], now: float
) -> float | None:
    """
    Return the seconds until the first replica that asked for a pause may be used.

    Returns None if none of the replicas that are left has asked for one.
    """
    left = [
        state.paused_until - now
        for it in gateway.view.of_service(service)
        if it.id not in tried
        and (state := gateway.endpoint_states.of(it)).paused_until > now
    ]
    return min(left, default=None)


def expected_wait(gateway: Gateway, endpoint: Endpoint) -> float:
    """Return the expected time to a response, in seconds, with some random noise."""
    state = gateway.endpoint_states.of(endpoint)
    latency = state.latency or DEFAULT_LATENCY
    if endpoint.data_centre != gateway.settings.data_centre:
        latency += REMOTE_LATENCY
    queue = 1.0 + state.requests
    penalty = 1.0 + FAILURE_WEIGHT * state.failures
    # The noise prevents all gateways from choosing the same replica.
    return latency * queue * penalty * gateway.random.uniform(0.8, 1.2)
