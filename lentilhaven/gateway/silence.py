"""Limits on the silence of a stream, and suspicion of the endpoints that cause it."""

import attrs

from lentilhaven.chains.chain import Chain
from lentilhaven.core.logs import get_logger
from lentilhaven.gateway.endpoint_states import (
    EWMA_WEIGHT,
    REFUTE_MARGIN,
    SUSPICION_TIME,
)
from lentilhaven.gateway.gateway import Gateway

#: Shortest silence that counts as a fault, in seconds.  If the run is then repeated,
#: its first event takes about 0.1 s, and a total pause of 0.25 s makes an answer late.
MIN_SILENCE = 0.14

#: Upper limit of the silence after which a stream counts as faulty, in seconds.  A run
#: that can be neither repeated nor moved is waited for beyond that limit.
MAX_SILENCE = 0.6

#: A silence of this many mean pauses counts as a fault, within the limits above.
PAUSE_FACTOR = 3.0

#: A first event that takes this many times its estimate, plus `FIRST_EVENT_SLACK`,
#: counts as missing; its time varies more than that of later events.
FIRST_EVENT_FACTOR = 3.0

#: Seconds granted to a first event in addition to the multiple of its estimate.
FIRST_EVENT_SLACK = 0.15

log = get_logger("gateway")


@attrs.define
class PauseEstimator:
    """
    Estimates the pause between the events of one stream.

    Attributes
    ----------
    mean : float
        Exponentially weighted mean of the pauses, in seconds.

    Examples
    --------
    >>> pauses = PauseEstimator(0.02)
    >>> pauses.limit()
    0.14
    """

    mean: float

    def record(self, pause: float) -> None:
        """Update the mean with a pause, in seconds."""
        self.mean += EWMA_WEIGHT * (pause - self.mean)

    def limit(self) -> float:
        """Return the silence that counts as a fault, in seconds."""
        return min(MAX_SILENCE, max(MIN_SILENCE, PAUSE_FACTOR * self.mean))


def first_event_limit(expected: float) -> float:
    """
    Return how long to wait for a first event, in seconds.

    Parameters
    ----------
    expected : float
        Estimated time to the first event, in seconds.
    """
    return min(MAX_SILENCE, FIRST_EVENT_SLACK + FIRST_EVENT_FACTOR * expected)


def note_heard(gateway: Gateway, chain: Chain, now: float) -> None:
    """Record that an event has passed through all parts of a chain."""
    for endpoint, _ in chain.parts:
        gateway.endpoint_states.of(endpoint).note_heard(now)


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
        them, at any gateway more than `REFUTE_MARGIN` after that.
    """
    suspects = []
    fresh = False
    for endpoint, _ in chain.parts:
        state = gateway.endpoint_states.of(endpoint)
        if state.heard_at <= since + REFUTE_MARGIN:
            if state.suspected_until <= now:
                # A suspicion that is dated anew could not be refuted by the next event.
                state.note_suspicion(now, now + SUSPICION_TIME)
                fresh = True
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
