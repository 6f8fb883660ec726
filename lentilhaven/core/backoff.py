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
    rng : random.Random
        Random number generator.
    initial_limit : float
        Upper limit of the first delay, in seconds.
    max_limit : float
        Maximum of the limit, in seconds.
    failures : int
        Number of failures since the last success.

    Examples
    --------
    >>> backoff = Backoff(random.Random(1), initial_limit=1.0, max_limit=4.0)
    >>> delays = [backoff.next_delay() for _ in range(50)]
    >>> max(delays) <= 4.0, delays[0] <= 1.0
    (True, True)
    """

    rng: random.Random
    initial_limit: float = 0.1
    max_limit: float = 2.0
    failures: int = 0

    def next_delay(self) -> float:
        """Count a failure and return the delay before the next retry, in seconds."""
        # The exponent is bounded because a large power would overflow a float.
        limit = min(self.max_limit, self.initial_limit * 2.0 ** min(self.failures, 30))
        self.failures += 1
        return self.rng.uniform(0.0, limit)

    def reset(self) -> None:
        """Reset the delays after a success."""
        self.failures = 0
