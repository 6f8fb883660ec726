"""When a refused caller should return."""

from random import Random

#: Shortest time after which a caller is asked to return, in seconds.  A caller who
#: returns sooner meets the same queue.
MIN_RETRY_AFTER = 0.1

#: Share by which each step of priority returns later, so that the more urgent callers
#: find the room first.
PRIORITY_DELAY = 0.25

#: Relative width of the random spread, so that callers who were refused together do not
#: return together.
SPREAD = 0.5

#: Share by which the most urgent callers return earlier than the latest useful time if
#: the wait is longer than that; the lead of the others is divided by their delay.
CAPPED_LEAD = 0.2

#: Callers follow a Retry-After of up to this share of the time that they have left.
MAX_SHARE_OF_TIME_LEFT = 1 / 3


def retry_after(wait: float, priority: int, time_left: float, rng: Random) -> float:
    """
    Return the seconds after which a refused caller should return.

    Parameters
    ----------
    wait : float
        Predicted seconds until room is likely.
    priority : int
        Priority of the request; 0 is the most urgent.
    time_left : float
        Seconds until the caller leaves.
    rng : random.Random
        Random number generator.

    Returns
    -------
    float
        From 0 to `MAX_SHARE_OF_TIME_LEFT` of `time_left`.

    Examples
    --------
    >>> round(retry_after(1.0, 0, 20.0, Random(1)), 2)
    1.07
    >>> round(retry_after(60.0, 0, 6.0, Random(1)), 2)
    1.14
    """
    latest = max(0.0, MAX_SHARE_OF_TIME_LEFT * time_left)
    delay = 1.0 + PRIORITY_DELAY * max(0, priority)
    wanted = max(MIN_RETRY_AFTER, wait) * delay
    # A spread beyond the latest useful time would make all callers return then.  Less
    # urgent callers return later also if the wait exceeds that time.
    bound = latest / (1.0 + SPREAD) * (1.0 - CAPPED_LEAD / delay)
    return min(latest, min(wanted, bound) * (1.0 + SPREAD * rng.random()))
