"""
Keeping the request rates that endpoints name as their limits.

This connects the requests of a gateway to the decisions of `lentilhaven.rate_limits`.
"""

import asyncio
import math
from collections.abc import Collection, Iterable

import attrs

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.rate_limits import (
    ServiceDemand,
    fair_fraction,
    is_below_limit,
    permitted_endpoints,
    time_to_return,
)


@attrs.define
class SendAttempt:
    """
    An attempt to send a request, until it is sent.

    Attributes
    ----------
    position : float or None
        Its point for the decisions (see `permitted_endpoints`); None until an endpoint
        with a limit is found.
    """

    position: float | None = None


def begin_send_attempt(gateway: Gateway, call: Call) -> SendAttempt:
    """Count an attempt to send a request."""
    now = asyncio.get_running_loop().time()
    demand = gateway.demands.setdefault(call.service, ServiceDemand())
    demand.record(call.workspace, now)
    return SendAttempt()


def limited_rates(
    gateway: Gateway, endpoints: Iterable[Endpoint], now: float
) -> dict[str, float]:
    """Return the requests per second that endpoints with a limit take, by id."""
    states = gateway.endpoint_states
    return {
        endpoint.id: rate
        for endpoint in endpoints
        if (rate := states.of(endpoint).current_limit(now)) < math.inf
    }


def demand_of_all(gateway: Gateway, service: str, now: float) -> float:
    """Return how many requests per second all gateways try to send to a service."""
    own = gateway.demands.setdefault(service, ServiceDemand()).rate(now)
    return own + gateway.peers.demand_of_others(service, own, now)


def held_back(
    gateway: Gateway,
    call: Call,
    endpoints: Collection[Endpoint],
    attempt: SendAttempt,
    now: float,
) -> set[str]:
    """
    Return the ids of endpoints that must not be sent a request, by their limits.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    call : Call
        The request.
    endpoints : collection of Endpoint
        The endpoints that could be sent the request.
    attempt : SendAttempt
        The attempt to send it.
    now : float
        Time of the event loop, in seconds.
    """
    rates = limited_rates(gateway, endpoints, now)
    if not rates:
        return set()
    if attempt.position is None:
        attempt.position = gateway.random.random()
    demand = max(demand_of_all(gateway, call.service, now), 1.0)
    fraction = sum(rates.values()) / demand
    scale = 1.0
    if 0.0 < fraction < 1.0:
        counts = dict(gateway.demands[call.service].by_workspace)
        counts.setdefault(call.workspace, 1)
        scale = fair_fraction(counts, call.workspace, fraction) / fraction
    permitted = permitted_endpoints(rates, demand, attempt.position, scale)
    return {
        endpoint.id
        for endpoint in endpoints
        if endpoint.id in rates
        and (endpoint.id not in permitted or is_at_limit(gateway, endpoint, now))
    }


def is_at_limit(gateway: Gateway, endpoint: Endpoint, now: float) -> bool:
    """Return whether an endpoint has got what its limit allows, from all gateways."""
    state = gateway.endpoint_states.of(endpoint)
    rate = state.current_limit(now)
    if rate == math.inf:
        return False
    sent_by_others = gateway.peers.load_of_others(now).sent.get(endpoint.id, 0)
    return not is_below_limit(state.count_sent(now) + sent_by_others, rate)


def limit_wait(
    gateway: Gateway, service: str, endpoints: Collection[Endpoint], now: float
) -> float | None:
    """
    Return the seconds after which a caller that limits turn away should return.

    Returns None if an endpoint has no limit.
    """
    rates = limited_rates(gateway, endpoints, now)
    if not endpoints or len(rates) < len(endpoints):
        return None
    return time_to_return(rates, demand_of_all(gateway, service, now))
