"""Exponential backoff with full jitter."""

import random

import attrs


@attrs.define
class Backoff:
    """
    Delays between the retries of one call.

    Each delay is drawn uniformly between zero and a limit that doubles with each
    failure, so that clients that failed at the same time do not retry at the same
    time.

    Attributes
    ----------
    random : random.Random
        Random number generator.
    first : float
        Upper limit of the first delay, in seconds.
    longest : float
        Maximum of the limit, in seconds.
    failures : int
        Number of failures since the last success.

    Examples
    --------
    >>> backoff = Backoff(random.Random(1), first=1.0, longest=4.0)
    >>> delays = [backoff.next_delay() for _ in range(50)]
    >>> max(delays) <= 4.0, delays[0] <= 1.0
    (True, True)
    """

    random: random.Random
    first: float = 0.1
    longest: float = 2.0
    failures: int = 0

    def next_delay(self) -> float:
        """Count a failure and return the delay before the next retry, in seconds."""
        # The exponent is bounded because a large power would overflow a float.
        limit = min(self.longest, self.first * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return self.random.uniform(0.0, limit)

    def reset(self) -> None:
        """Reset the delays after a success."""
        self.failures = 0
