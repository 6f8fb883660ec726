"""A limit on retries in proportion to recent requests."""

import math

import attrs

#: Time in which the weight of a request or retry decays to 1/e, in seconds.
DECAY_TIME_CONSTANT = 10.0

#: Decayed number of retries that is allowed regardless of the number of requests, for
#: routes with few requests.
MIN_RETRIES = 3.0


@attrs.define
class RetryBudget:
    """
    Limits the retries of one route to a fraction of its recent requests.

    Requests and retries are counted with exponential decay, and `MIN_RETRIES` are
    allowed in addition to the fraction.

    Attributes
    ----------
    ratio : float
        Retries allowed per recent request.
    requests : float
        Number of requests, decayed to the time `updated`.
    retries : float
        Number of retries, decayed to the time `updated`.
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
        """Decay both counts to the time `now`."""
        factor = math.exp(min(0.0, self.updated - now) / DECAY_TIME_CONSTANT)
        self.requests *= factor
        self.retries *= factor
        self.updated = max(now, self.updated)

    def record_request(self, now: float) -> None:
        """
        Count the first attempt of a request.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        self.decay(now)
        self.requests += 1.0

    def spend(self, now: float) -> bool:
        """
        Count a retry and return True, or return False if the budget is spent.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        self.decay(now)
        if self.retries + 1.0 > MIN_RETRIES + self.ratio * self.requests:
            return False
        self.retries += 1.0
        return True
