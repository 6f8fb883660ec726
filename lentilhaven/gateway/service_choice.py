"""Which replica of a plain service gets a request."""

from collections.abc import Collection

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.gateway import Gateway

#: Seconds assumed for an endpoint that has not answered yet.
UNKNOWN_LATENCY = 0.02

#: Seconds added for an endpoint in another data centre: a round trip there.
REMOTE_LATENCY = 0.0015

#: How much a failing endpoint's latency counts: at half of the requests failed,
#: three times as much, so that the others get nearly all.
FAILURE_WEIGHT = 4.0


def choose_replica(
    gateway: Gateway, service: str, tried: Collection[str], now: float
) -> Endpoint | None:
    """
    Return the replica that should answer soonest.

    Parameters
    ----------
    gateway : Gateway
        Knows the replicas and what was seen of them.
    service : str
        The service.
    tried : collection of str
        Ids of replicas that have had this request.
    now : float
        Time of the event loop.

    Returns
    -------
    Endpoint or None
        None if all have been tried.  One that is suspected is chosen only if no
        other is left.
    """
    found = [it for it in gateway.view.of_service(service) if it.id not in tried]
    if not found:
        return None
    trusted = [it for it in found if gateway.board.of(it).available(now)]
    return min(trusted or found, key=lambda it: expected_wait(gateway, it))


def expected_wait(gateway: Gateway, endpoint: Endpoint) -> float:
    """Return the expected time to an answer, in seconds, with some noise."""
    state = gateway.board.of(endpoint)
    latency = state.latency or UNKNOWN_LATENCY
    if endpoint.data_centre != gateway.settings.data_centre:
        latency += REMOTE_LATENCY
    queue = 1.0 + state.requests
    penalty = 1.0 + FAILURE_WEIGHT * state.failures
    # Noise keeps the gateways from all choosing the same replica.
    return latency * queue * penalty * gateway.random.uniform(0.8, 1.2)
