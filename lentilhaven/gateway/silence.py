"""Suspicion of the endpoints that cause the silence of a stream."""

from lentilhaven.chains.chain import Chain
from lentilhaven.core.logs import get_logger
from lentilhaven.gateway.endpoint_states import (
    REFUTE_MARGIN,
    SUSPICION_TIME,
)
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.recovery import latest_failure

log = get_logger("gateway")


def note_heard(gateway: Gateway, chain: Chain, now: float) -> None:
    """Record that an event has passed through all parts of a chain."""
    for endpoint, _ in chain.parts:
        state = gateway.endpoint_states.of(endpoint)
        was_suspected = state.suspected_until > now
        state.note_heard(now)
        if was_suspected and not state.suspected_until:
            gateway.queues.notify_room()


def suspect_silent_parts(
    gateway: Gateway, chain: Chain, request_id: str, since: float, now: float
) -> list[str]:
    """
    Suspect the endpoints of a silent chain that have sent no data since a time.

    If any of them is not yet suspected at `now`, the other gateways are told at once.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    chain : Chain
        The silent chain.
    request_id : str
        Id of the waiting request, for the log.
    since : float
        Start of the silence: event loop time of the last event, or of the request.
    now : float
        Time of the event loop.

    Returns
    -------
    list of str
        Ids of the suspects; empty if data has arrived from all endpoints, or through
        them, at any gateway more than `REFUTE_MARGIN` after that, and if none of them
        is suspected for another reason.
    """
    suspects = []
    fresh = False
    is_ordered = gateway.rules.is_ordered
    for endpoint, _ in chain.parts:
        state = gateway.endpoint_states.of(endpoint)
        if state.heard_at <= since + REFUTE_MARGIN:
            if state.suspected_until <= now:
                # A suspicion that is dated anew could not be refuted by the next event.
                failed_at = latest_failure(since, now) if is_ordered else now
                state.note_suspicion(failed_at, now + SUSPICION_TIME)
                fresh = True
            suspects.append(endpoint.id)
        elif is_ordered and state.suspected_until > now:
            # It was heard after this silence began, but has failed since then.
            suspects.append(endpoint.id)
    if not fresh:
        return suspects
    gateway.urgent_signal.notify()
    log.warning(
        "endpoints suspected",
        request=request_id,
        endpoints=suspects,
        length=len(chain.parts),
        silent_ms=round((now - since) * 1000),
    )
    return suspects
