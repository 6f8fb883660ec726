"""How long a stream may be silent, and which endpoints are to blame."""

import attrs

from lentilhaven.chains.chain import Chain
from lentilhaven.core.logs import get_logger
from lentilhaven.gateway.endpoint_board import NEWEST, SUSPICION
from lentilhaven.gateway.gateway import Gateway

#: Shortest silence that is taken for a fault, in seconds.  A second run needs
#: about a tenth of a second for its first event, and a pause of a quarter of a
#: second makes an answer late.
LEAST_SILENCE = 0.14

#: Longest silence that is waited for, in seconds, if another run is possible.
MOST_SILENCE = 0.6

#: A silence this many times as long as the usual pause is taken for a fault.
PAUSE_FACTOR = 3.0

#: The same for the first event, whose time varies more.
FIRST_FACTOR = 3.0

#: Seconds granted to a first event beside its estimate.
FIRST_SLACK = 0.15

log = get_logger("gateway")


@attrs.define
class PauseWatch:
    """
    The usual pause between the events of one stream.

    Attributes
    ----------
    usual : float
        Running mean of the pauses, in seconds.

    Examples
    --------
    >>> watch = PauseWatch(0.02)
    >>> watch.limit()
    0.14
    """

    usual: float

    def record(self, pause: float) -> None:
        """Count a pause."""
        self.usual += NEWEST * (pause - self.usual)

    def limit(self) -> float:
        """Return the silence that is taken for a fault, in seconds."""
        return min(MOST_SILENCE, max(LEAST_SILENCE, PAUSE_FACTOR * self.usual))


def first_event_limit(expected: float) -> float:
    """
    Return how long to wait for a first event, in seconds.

    Parameters
    ----------
    expected : float
        Estimated time to it, in seconds.
    """
    return min(MOST_SILENCE, FIRST_SLACK + FIRST_FACTOR * expected)


def note_heard(gateway: Gateway, chain: Chain, now: float) -> None:
    """Note that an event came through all parts of a chain."""
    for endpoint, _ in chain.parts:
        gateway.board.of(endpoint).note_heard(now)


def note_silence(
    gateway: Gateway, chain: Chain, request_id: str, since: float, now: float
) -> list[str]:
    """
    Suspect the parts of a silent chain that were not heard of since.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    chain : Chain
        The chain.
    request_id : str
        The request that waited, for the log.
    since : float
        Time of the last event, or of the request.
    now : float
        Time of the event loop.

    Returns
    -------
    list of str
        Ids of the suspects; empty if all parts were heard of since.
    """
    suspects = []
    fresh = False
    for endpoint, _ in chain.parts:
        state = gateway.board.of(endpoint)
        if state.heard_at <= since:
            fresh = fresh or state.suspected_until <= now
            state.note_suspicion(now, now + SUSPICION, own=True)
            suspects.append(endpoint.id)
    if not fresh:
        return suspects
    gateway.urgent.notify()
    log.warning(
        "endpoints suspected",
        request=request_id,
        endpoints=suspects,
        length=len(chain.parts),
        silent_ms=round((now - since) * 1000),
    )
    return suspects
