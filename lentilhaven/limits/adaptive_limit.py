"""A limit on requests in flight that follows measured latency."""

import math

import attrs

#: Seconds of measurements behind one adjustment.
PERIOD = 0.5

#: Fewest tokens behind one adjustment.
MIN_SAMPLES = 40

#: Part of the tokens that has to meet the target.
SHARE_IN_TIME = 0.95

#: Part of the target that the limit steers at.
MARGIN = 0.97

#: Least factor of one adjustment downwards.
LEAST_FACTOR = 0.9

#: Most requests by which one adjustment raises the limit.
GREATEST_RISE = 2.0

#: Relative distance from the target for which it rises by one request.
RISE_STEP = 0.1

#: Part of the limit that must be in use before it grows.
BUSY_SHARE = 0.85

#: Part of the streams at the bound with which a router begins.
FIRST_PART = 0.4


@attrs.define
class AdaptiveLimit:
    """
    Most requests in flight, adjusted so that tokens come in time.

    The limit falls by a factor and rises by a number of requests, so that the
    limits of routers before the same engines converge.  It rises only while it
    is what holds requests back.

    Attributes
    ----------
    target : float
        Seconds between tokens for 95 of 100 tokens.
    limit : float
        Most requests in flight.
    least, greatest : float
        Bounds of the limit.
    gaps : list of float
        Seconds between tokens since the last adjustment.
    adjusted : float
        Monotonic time of the last adjustment, in seconds.

    Examples
    --------
    >>> limit = AdaptiveLimit(target=0.05, limit=100.0)
    >>> for step in range(50):
    ...     limit.observe(0.08)
    >>> limit.adjust(in_flight=100, now=1.0)
    >>> limit.limit
    90.0

    References
    ----------
    D.-M. Chiu, R. Jain, "Analysis of the Increase and Decrease Algorithms for
    Congestion Avoidance in Computer Networks", 1989.
    """

    target: float
    limit: float = 32.0
    least: float = 2.0
    greatest: float = 10_000.0
    gaps: list[float] = attrs.field(factory=list)
    adjusted: float = 0.0

    def observe(self, gap: float) -> None:
        """Take in the seconds between two tokens."""
        self.gaps.append(gap)

    def adjust(self, in_flight: int, now: float) -> None:
        """
        Adjust the limit if a period is over.

        Parameters
        ----------
        in_flight : int
            Requests in flight.
        now : float
            Monotonic time, in seconds.
        """
        if now - self.adjusted < PERIOD or len(self.gaps) < MIN_SAMPLES:
            return
        self.adjusted = now
        ratio = self.find_ratio()
        self.gaps.clear()
        if ratio < 1.0:
            # An earlier cut that has not taken effect yet must not be repeated.
            if in_flight <= self.limit:
                cut = max(LEAST_FACTOR, math.sqrt(ratio))
                self.limit = max(self.least, self.limit * cut)
        elif in_flight >= BUSY_SHARE * self.limit:
            rise = min(GREATEST_RISE, (ratio - 1.0) / RISE_STEP)
            self.limit = min(self.greatest, self.limit + rise)

    def find_ratio(self) -> float:
        """Return how far tokens are within the target; below 1 they are late."""
        self.gaps.sort()
        measured = self.gaps[int(SHARE_IN_TIME * (len(self.gaps) - 1))]
        return MARGIN * self.target / max(measured, 1e-9)


def first_limit(bound: float, between_tokens: float, routers: int) -> float:
    """
    Return the limit that a router begins with.

    Little's law gives the streams that a pool runs at its bound if each token
    takes the target; two fifths of them is where engines still answer well in time.

    Parameters
    ----------
    bound : float
        Generated tokens per second of the pool.
    between_tokens : float
        Target, in seconds.
    routers : int
        Routers that share the pool.

    Examples
    --------
    >>> first_limit(9000.0, 0.05, 9)
    20.0
    """
    return FIRST_PART * bound * between_tokens / routers
