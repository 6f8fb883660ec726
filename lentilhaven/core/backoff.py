"""Exponential delays between retries, with jitter."""

import random

import attrs


@attrs.define
class Backoff:
    """
    The delay before each retry of one call.

    Each delay is drawn evenly from zero to a limit that doubles, so that callers
    that failed together do not come back together.

    Attributes
    ----------
    random : random.Random
        Source of chance.
    first : float
        Limit of the first delay, in seconds.
    longest : float
        Largest limit, in seconds.
    failures : int
        Failures since the last success.

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
        """Return the seconds to wait, and count one more failure."""
        limit = min(self.longest, self.first * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return self.random.uniform(0.0, limit)

    def reset(self) -> None:
        """Start again after a success."""
        self.failures = 0
