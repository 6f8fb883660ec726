"""Waiting of requests at a process that does not know yet what it may serve."""

#: Longest wait for the first manifest, in seconds.  Callers of streams leave after two
#: seconds without a byte.
MAX_START_WAIT = 1.0

#: Largest share of the caller's time that such a wait takes; enough of it must be left
#: for the request.
START_WAIT_SHARE = 0.2

#: Seconds after which the manifest is likely to be known when such a wait was in vain:
#: the store does not answer then, and a caller who returns too early is lost.
LATE_START_TIME = 2.0


def start_wait(time_left: float | None) -> float:
    """
    Return for how long a request waits for the first manifest, in seconds.

    Parameters
    ----------
    time_left : float or None
        Seconds until the caller leaves; None if the request does not state them.

    Examples
    --------
    >>> start_wait(20.0), start_wait(1.5), start_wait(None)
    (1.0, 0.3, 1.0)
    """
    if time_left is None:
        return MAX_START_WAIT
    return round(min(MAX_START_WAIT, START_WAIT_SHARE * max(0.0, time_left)), 6)
