"""The share of a service's retry budget that one gateway may use."""

from collections import deque

import attrs

#: Number of gateways assumed while the actual number is unknown.
ASSUMED_GATEWAYS = 300


@attrs.define
class RetryBudgetShare:
    """
    Limits the retries of one service in a sliding window.

    In each window all gateways together may send ``ratio`` retries for each
    request and ``slack`` additional ones.  Each gateway counts its own requests
    and may use an equal part of the slack.

    Attributes
    ----------
    window : float
        Length of the window, in seconds.
    ratio, slack : float
        Number of retries allowed for each request, and number of additional retries
        that all gateways together may send in each window.
    request_times, retry_times : deque of float
        Times of the requests and retries in the window, in seconds.

    Examples
    --------
    >>> share = RetryBudgetShare(10.0, 0.5, 4.0)
    >>> share.record_request(0.0); share.record_request(0.0)
    >>> [share.try_spend(0.0, gateways=4) for _ in range(3)]
    [True, True, False]
    """

    window: float
    ratio: float
    slack: float
    request_times: deque[float] = attrs.field(factory=deque)
    retry_times: deque[float] = attrs.field(factory=deque)

    def expire(self, now: float) -> None:
        """Remove times that are older than the window."""
        for times in (self.request_times, self.retry_times):
            while times and times[0] <= now - self.window:
                times.popleft()

    def record_request(self, now: float) -> None:
        """Count a request."""
        self.request_times.append(now)

    def remaining(self, now: float, gateways: int) -> float:
        """
        Return how many retries this gateway may still send in the window.

        Parameters
        ----------
        now : float
            Current time, by the clock of `record_request`, in seconds.
        gateways : int
            Number of gateways that share the budget; 0 if unknown.

        Returns
        -------
        float
            May be a fraction, and negative.
        """
        self.expire(now)
        allowed = self.ratio * len(self.request_times)
        allowed += self.slack / max(1, gateways or ASSUMED_GATEWAYS)
        return allowed - len(self.retry_times)

    def try_spend(self, now: float, gateways: int) -> bool:
        """Count a retry and return True, or return False if none is left."""
        if self.remaining(now, gateways) < 1.0:
            return False
        self.retry_times.append(now)
        return True
