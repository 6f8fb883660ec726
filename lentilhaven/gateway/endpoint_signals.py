"""What endpoints say about themselves in the heads of their answers."""

import asyncio

from lentilhaven.admission.slots import StatedLoad
from lentilhaven.core.logs import get_logger
from lentilhaven.core.signal import Signal
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.gateway.endpoint_states import EndpointStates
from lentilhaven.platform.response_head import ResponseHead
from lentilhaven.rate_limits import NamedLimit

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
    if head.load is not None:
        state = states.of(endpoint)
        at = asyncio.get_running_loop().time()
        requests = head.load.running + head.load.waiting
        state.stated = StatedLoad(requests, state.requests, at)
    note_limit(states, urgent_signal, endpoint, head)


def note_limit(
    states: EndpointStates,
    urgent_signal: Signal,
    endpoint: Endpoint,
    head: ResponseHead,
) -> None:
    """
    Record whether an answer names a limit, and tell the others of a new one at once.

    Parameters
    ----------
    states, urgent_signal, endpoint, head
        As in `note_signals`.
    """
    now = asyncio.get_running_loop().time()
    state = states.of(endpoint)
    known = state.named_limit
    if head.rate_limit is None:
        if known is None or known.over_since is not None:
            return
        state.note_no_limit(now)
    else:
        if state.note_limit(NamedLimit(head.rate_limit, now)):
            urgent_signal.notify()
        if known is not None and known.over_since is None:
            if known.rate == head.rate_limit:
                return
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
