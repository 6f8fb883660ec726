"""The share of the retry budget that one gateway may spend."""

from collections import deque

import attrs

#: Gateways that are assumed while it is not known how many there are.
UNKNOWN_GATEWAYS = 300


@attrs.define
class BudgetShare:
    """
    Counts requests and repeats of one service in a sliding window.

    All gateways together may send ``ratio`` repeats for each request and
    ``slack`` beside these in each window; each takes its part of the slack and
    counts its own requests.

    Attributes
    ----------
    window : float
        Length of the window, in seconds.
    ratio, slack : float
        Repeats for each request, and beside these.
    requests, repeats : deque of float
        Times of those in the window.

    Examples
    --------
    >>> share = BudgetShare(10.0, 0.5, 4.0)
    >>> share.record_request(0.0); share.record_request(0.0)
    >>> [share.spend(0.0, gateways=4) for _ in range(3)]
    [True, True, False]
    """

    window: float
    ratio: float
    slack: float
    requests: deque[float] = attrs.field(factory=deque)
    repeats: deque[float] = attrs.field(factory=deque)

    def expire(self, now: float) -> None:
        """Forget what has left the window."""
        for times in (self.requests, self.repeats):
            while times and times[0] <= now - self.window:
                times.popleft()

    def record_request(self, now: float) -> None:
        """Count a request."""
        self.requests.append(now)

    def left(self, now: float, gateways: int) -> float:
        """Return how many repeats may still be sent in this window."""
        self.expire(now)
        allowed = self.ratio * len(self.requests)
        allowed += self.slack / max(1, gateways or UNKNOWN_GATEWAYS)
        return allowed - len(self.repeats)

    def spend(self, now: float, gateways: int) -> bool:
        """Count a repeat and return True, or return False if none is left."""
        if self.left(now, gateways) < 1.0:
            return False
        self.repeats.append(now)
        return True
