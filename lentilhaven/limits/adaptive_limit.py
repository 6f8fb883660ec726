"""A concurrency limit that adapts to measured token latency."""

import math

import attrs

#: Least time between two adjustments, in seconds.
ADJUSTMENT_INTERVAL = 0.5

#: Least number of measured tokens for one adjustment.
MIN_SAMPLES = 40

#: Share of the tokens that must meet the target.
TARGET_QUANTILE = 0.95

#: Share of the target that the controller aims for.
TARGET_FACTOR = 0.97

#: Least factor by which one adjustment lowers the limit.
MIN_DECREASE_FACTOR = 0.9

#: Most requests that one adjustment adds to the limit.
MAX_INCREASE = 2.0

#: Relative distance below the target that adds one request to the limit.
HEADROOM_PER_REQUEST = 0.1

#: Share of the limit that must be in use before the limit increases.
MIN_UTILIZATION = 0.85

#: Initial limit, as a share of the streams at the throughput bound.
INITIAL_FRACTION = 0.4


@attrs.define
class AdaptiveLimit:
    """
    A limit on requests in flight that keeps token latency within a target.

    The limit decreases multiplicatively and increases additively, so that the
    limits of routers that share engines converge.  It increases only while it
    is the limiting factor.

    Attributes
    ----------
    target : float
        Most seconds between tokens, for 95 of 100 tokens.
    limit : float
        Most requests in flight.
    min_limit, max_limit : float
        Lower and upper bound of `limit`.
    gaps : list of float
        Seconds between tokens, measured since the last adjustment.
    adjusted_at : float
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
    min_limit: float = 2.0
    max_limit: float = 10_000.0
    gaps: list[float] = attrs.field(factory=list)
    adjusted_at: float = 0.0

    def observe(self, gap: float) -> None:
        """Record the seconds between two tokens."""
        self.gaps.append(gap)

    def adjust(self, in_flight: int, now: float) -> None:
        """
        Adjust the limit if the interval has passed and samples suffice.

        Parameters
        ----------
        in_flight : int
            Requests in flight.
        now : float
            Monotonic time, in seconds.
        """
        if now - self.adjusted_at < ADJUSTMENT_INTERVAL or len(self.gaps) < MIN_SAMPLES:
            return
        self.adjusted_at = now
        ratio = self.target_ratio()
        self.gaps.clear()
        if ratio < 1.0:
            # While more requests run than the limit allows, the last decrease
            # has not taken effect yet and must not be repeated.
            if in_flight <= self.limit:
                factor = max(MIN_DECREASE_FACTOR, math.sqrt(ratio))
                self.limit = max(self.min_limit, self.limit * factor)
        elif in_flight >= MIN_UTILIZATION * self.limit:
            increase = min(MAX_INCREASE, (ratio - 1.0) / HEADROOM_PER_REQUEST)
            self.limit = min(self.max_limit, self.limit + increase)

    def target_ratio(self) -> float:
        """Return the ratio of target to measured latency; below 1 tokens are late."""
        self.gaps.sort()
        measured = self.gaps[int(TARGET_QUANTILE * (len(self.gaps) - 1))]
        return TARGET_FACTOR * self.target / max(measured, 1e-9)


def initial_limit(bound: float, between_tokens: float, routers: int) -> float:
    """
    Return a router's initial limit.

    By Little's law, the bound and the target time per token give the number of
    streams at the bound.  At two fifths of that number, engines still answer
    well within the target.

    Parameters
    ----------
    bound : float
        Upper bound of the pool's rate, in generated tokens per second.
    between_tokens : float
        Target time between tokens, in seconds.
    routers : int
        Number of routers that share the pool.

    Examples
    --------
    >>> initial_limit(9000.0, 0.05, 9)
    20.0
    """
    return INITIAL_FRACTION * bound * between_tokens / routers
