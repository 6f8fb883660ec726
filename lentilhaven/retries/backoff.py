"""Exponential backoff with full jitter."""

import random

#: Upper bound of the first delay, in seconds.
INITIAL_DELAY = 0.05

#: Upper bound of every delay, in seconds.
MAX_DELAY = 2.0


def jittered_delay(
    failures: int,
    rng: random.Random,
    initial: float = INITIAL_DELAY,
    maximum: float = MAX_DELAY,
) -> float:
    """
    Return the seconds to wait before the next attempt, at random from 0 to a bound.

    Parameters
    ----------
    failures : int
        Number of consecutive failures, at least 1.
    rng : random.Random
        Random number generator.
    initial : float
        Upper bound after the first failure, in seconds; it doubles with each
        further failure.
    maximum : float
        Upper bound of every delay, in seconds.

    Examples
    --------
    >>> source = random.Random(1)
    >>> all(jittered_delay(3, source) <= 4 * INITIAL_DELAY for _ in range(100))
    True
    """
    # The exponent is bounded so that a long outage can't overflow a float.
    bound = min(maximum, initial * 2.0 ** min(failures - 1, 32))
    return rng.uniform(0.0, bound)
