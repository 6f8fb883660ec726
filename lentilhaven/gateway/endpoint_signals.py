"""What endpoints say about themselves in the heads of their answers."""

import asyncio

from lentilhaven.core.logs import get_logger
from lentilhaven.core.signal import Signal
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.gateway.endpoint_states import EndpointStates
from lentilhaven.platform.response_head import ResponseHead

log = get_logger("gateway")


def note_signals(
    view: FleetView,
    states: EndpointStates,
    urgent_signal: Signal,
    endpoint: Endpoint,
    head: ResponseHead,
) -> None:
    """
    Apply what the head of an answer says about the endpoint that sent it.

    An endpoint that is leaving gets no new requests, and the other gateways are told
    at once.  One that refuses for a stated time gets nothing from this gateway until
    then; the others are not told, as the endpoint speaks to this gateway only.

    Parameters
    ----------
    view : FleetView
        Keeps the endpoints that are leaving.
    states : EndpointStates
        Keeps the observed state of the endpoints.
    urgent_signal : Signal
        Wakes the task that sends messages to the other gateways.
    endpoint : Endpoint
        The endpoint that sent the answer.
    head : ResponseHead
        The head of the answer.
    """
    if head.leaving and view.mark_leaving(endpoint.incarnation, "its answer"):
        urgent_signal.notify()
    if head.refusal_pause > 0:
        pause_endpoint(states, endpoint, head.refusal_pause)
    log_limit(states, endpoint, head)


def log_limit(states: EndpointStates, endpoint: Endpoint, head: ResponseHead) -> None:
    """Log the request rate that an endpoint names as its limit, if it has changed."""
    state = states.of(endpoint)
    if head.rate_limit == state.named_limit:
        return
    state.named_limit = head.rate_limit
    log.info(
        "endpoint names a limit",
        endpoint=endpoint.id,
        address=endpoint.address,
        limit=head.rate_limit,
        status=head.status,
        request=head.request_id,
    )


def pause_endpoint(states: EndpointStates, endpoint: Endpoint, seconds: float) -> None:
    """Send an endpoint nothing for some seconds, and log this once per refusal."""
    until = asyncio.get_running_loop().time() + seconds
    state = states.of(endpoint)
    if until > state.paused_until:
        state.paused_until = until
        log.info(
            "endpoint wants no requests",
            endpoint=endpoint.id,
            address=endpoint.address,
            seconds=round(seconds, 3),
        )
