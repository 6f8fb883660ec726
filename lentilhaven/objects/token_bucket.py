"""A token bucket that makes its callers wait."""

import attrs

from lentilhaven.core.clock import Clock
from lentilhaven.objects.share import ShareRate


@attrs.define
class TokenBucket:
    """
    Limits the rate of calls.

    Attributes
    ----------
    clock : Clock
        Source of time.
    limit : ShareRate
        Rate and burst.
    tokens : float
        Calls that may be made now; negative while calls wait for their turn.
    updated : float
        Monotonic time up to which `tokens` is accounted.

    Examples
    --------
    >>> from lentilhaven.core.clock import system_clock
    >>> bucket = TokenBucket.full(system_clock(), ShareRate(1.0, 2.0))
    >>> bucket.reserve(5.0), bucket.reserve(5.0), bucket.reserve(5.0) > 0.5
    (0.0, 0.0, True)
    >>> bucket.reserve(0.1) is None
    True
    """

    clock: Clock
    limit: ShareRate
    tokens: float
    updated: float

    @classmethod
    def full(cls, clock: Clock, limit: ShareRate) -> "TokenBucket":
        """Return a bucket that allows a whole burst."""
        return cls(clock, limit, limit.burst, clock.monotonic())

    def reserve(self, patience: float) -> float | None:
        """
        Take a token and return the seconds to wait before it may be used.

        Parameters
        ----------
        patience : float
            Most seconds that the caller would wait.

        Returns
        -------
        float or None
            None, and no token is taken, if the wait would be longer.
        """
        now = self.clock.monotonic()
        earned = (now - self.updated) * self.limit.rate
        self.tokens = min(self.limit.burst, self.tokens + earned)
        self.updated = now
        wait = max(0.0, (1.0 - self.tokens) / self.limit.rate)
        if wait > patience:
            return None
        self.tokens -= 1.0
        return wait
