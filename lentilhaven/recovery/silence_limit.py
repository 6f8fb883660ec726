"""Limits on the silence of a stream."""

import attrs

#: Weight of the newest pause in the exponentially weighted mean.
PAUSE_WEIGHT = 0.15

#: Time that a second run is given until its first event, in seconds.  If many begin at
#: once, it takes 0.06 to 0.11 s in the median and up to 0.16 s at the 90th percentile.
RECOVERY_TIME = 0.15

#: Least silence that counts as a fault, in seconds, whatever a route's pause may be,
#: and the one for a route that states none.
LEAST_SILENCE, USUAL_SILENCE = 0.08, 0.14

#: Upper limit of the silence after which a stream counts as faulty, in seconds.  A run
#: that can be neither repeated nor moved is waited for beyond that limit.
MAX_SILENCE = 0.6

#: A silence of this many mean pauses counts as a fault, within the limits above; the
#: second holds for streams that a recovery could not end in time otherwise.
PAUSE_FACTOR, LEAST_PAUSE_FACTOR = 3.0, 2.0

#: Longest usual pause between two events of a stream, in seconds.
LONGEST_USUAL_PAUSE = 0.05

#: A first event that takes this many times its estimate, plus `FIRST_EVENT_SLACK`,
#: counts as missing; its time varies more than that of later events.
FIRST_EVENT_FACTOR = 3.0

#: Seconds granted to a first event in addition to the multiple of its estimate.
FIRST_EVENT_SLACK = 0.15


@attrs.define
class PauseEstimator:
    """
    Estimates the pause between the events of one stream.

    Attributes
    ----------
    mean : float
        Exponentially weighted mean of the pauses, in seconds.
    longest_pause : float
        Longest pause with which the answer is in time, in seconds; 0 if none is stated.

    Examples
    --------
    >>> pauses = PauseEstimator(0.02, 0.25)
    >>> pauses.limit()
    0.1
    """

    mean: float
    longest_pause: float = 0.0

    def record(self, pause: float) -> None:
        """Update the mean with a pause, in seconds."""
        self.mean += PAUSE_WEIGHT * (pause - self.mean)

    def limit(self) -> float:
        """Return the silence that counts as a fault, in seconds."""
        usual = max(USUAL_SILENCE, PAUSE_FACTOR * self.mean)
        if self.longest_pause:
            in_time = max(LEAST_SILENCE, self.longest_pause - RECOVERY_TIME)
            usual = min(usual, max(in_time, LEAST_PAUSE_FACTOR * self.mean))
        return min(MAX_SILENCE, usual)


def latest_failure(silent_since: float, now: float) -> float:
    """
    Return when an endpoint that is found to be silent has failed at the latest.

    It was sound at its last event, and has failed at the next one.  Whoever has heard
    from it since then need not suspect it: after a loss of 4 of 99 engines some 50
    streams are silent at once, whose parts are nearly all engines.

    Parameters
    ----------
    silent_since, now : float
        Start of the silence, and current time, in seconds.

    Examples
    --------
    >>> round(latest_failure(1.0, 1.12), 2), round(latest_failure(1.0, 1.5), 2)
    (1.05, 1.41)
    >>> latest_failure(1.0, 1.02)
    1.02
    """
    last_heard = max(silent_since, now - USUAL_SILENCE)
    return min(now, last_heard + LONGEST_USUAL_PAUSE)


def first_event_limit(expected: float) -> float:
    """
    Return how long to wait for a first event, in seconds.

    Parameters
    ----------
    expected : float
        Estimated time to the first event, in seconds.
    """
    return min(MAX_SILENCE, FIRST_EVENT_SLACK + FIRST_EVENT_FACTOR * expected)
