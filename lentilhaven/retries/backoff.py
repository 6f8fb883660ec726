"""Exponential delay with full jitter."""

import random

#: Upper bound of the first delay, in seconds.
FIRST_DELAY = 0.05

#: Upper bound of every delay, in seconds.
LONGEST_DELAY = 2.0


def jittered_delay(
    failures: int,
    random: random.Random,
    first: float = FIRST_DELAY,
    longest: float = LONGEST_DELAY,
) -> float:
    """
    Return the seconds to wait before the next try.

    Parameters
    ----------
    failures : int
        Failures in a row so far, at least 1.
    random : random.Random
        Source of chance.
    first : float
        Upper bound after the first failure, in seconds; it doubles each time.
    longest : float
        Upper bound of the delay, in seconds.

    Examples
    --------
    >>> source = random.Random(1)
    >>> all(jittered_delay(3, source) <= 4 * FIRST_DELAY for _ in range(100))
    True
    """
    # The exponent is bounded so that a long outage can't overflow a float.
    bound = min(longest, first * 2.0 ** min(failures - 1, 32))
    return random.uniform(0.0, bound)
