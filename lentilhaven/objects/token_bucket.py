"""Token bucket that tells callers how long to wait."""

import attrs

from lentilhaven.core.clock import Clock
from lentilhaven.objects.share import RateLimit


@attrs.define
class TokenBucket:
    """
    Token bucket that limits the rate of calls.

    Attributes
    ----------
    clock : Clock
        Clock that determines when tokens are added.
    limit : RateLimit
        Rate in calls per second, and burst in calls.
    tokens : float
        Calls that may be made now; negative while calls wait.
    updated : float
        Monotonic time at which `tokens` was last updated, in seconds.

    Examples
    --------
    >>> from lentilhaven.core.clock import system_clock
    >>> bucket = TokenBucket.full(system_clock(), RateLimit(1.0, 2.0))
    >>> bucket.reserve(5.0), bucket.reserve(5.0), bucket.reserve(5.0) > 0.5
    (0.0, 0.0, True)
    >>> bucket.reserve(0.1) is None
    True
    """

    clock: Clock
    limit: RateLimit
    tokens: float
    updated: float

    @classmethod
    def full(cls, clock: Clock, limit: RateLimit) -> "TokenBucket":
        """Return a full bucket, which allows a whole burst."""
        return cls(clock, limit, limit.burst, clock.monotonic())

    def reserve(self, max_wait: float) -> float | None:
        """
        Take a token and return the number of seconds until the call may start.

        Parameters
        ----------
        max_wait : float
            Maximum wait in seconds.

        Returns
        -------
        float or None
            None if the wait would be longer than `max_wait`; no token is taken then.
        """
        now = self.clock.monotonic()
        added = (now - self.updated) * self.limit.rate
        self.tokens = min(self.limit.burst, self.tokens + added)
        self.updated = now
        wait = max(0.0, (1.0 - self.tokens) / self.limit.rate)
        if wait > max_wait:
            return None
        self.tokens -= 1.0
        return wait
