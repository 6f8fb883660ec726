"""A bound on retries relative to recent requests."""

import math

import attrs

#: Seconds after which a request or retry counts 1/e of what it did.
WINDOW = 10.0

#: Retries that are always allowed within a window, for routes with few requests.
RESERVE = 3.0


@attrs.define
class RetryBudget:
    """
    Counts recent requests and retries of one route.

    Attributes
    ----------
    ratio : float
        Retries allowed per recent request.
    requests : float
        Recent requests, decayed to `updated`.
    retries : float
        Recent retries, decayed to `updated`.
    updated : float
        Monotonic time of the last change, in seconds.

    Examples
    --------
    >>> budget = RetryBudget(0.1)
    >>> [budget.spend(0.0) for _ in range(4)]
    [True, True, True, False]
    """

    ratio: float
    requests: float = 0.0
    retries: float = 0.0
    updated: float = 0.0

    def decay(self, now: float) -> None:
        """Let what is old count less."""
        factor = math.exp(min(0.0, self.updated - now) / WINDOW)
        self.requests *= factor
        self.retries *= factor
        self.updated = max(now, self.updated)

    def record_request(self, now: float) -> None:
        """
        Count a first try.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        self.decay(now)
        self.requests += 1.0

    def spend(self, now: float) -> bool:
        """
        Count a retry and return True, or return False if none is left.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        self.decay(now)
        if self.retries + 1.0 > RESERVE + self.ratio * self.requests:
            return False
        self.retries += 1.0
        return True
