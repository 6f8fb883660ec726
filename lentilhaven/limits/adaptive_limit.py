"""A concurrency limit that adapts to measured token latency."""

import math

import attrs

#: Minimum time between two adjustments, in seconds.
ADJUSTMENT_INTERVAL = 0.5

#: Minimum number of measured times between tokens for one adjustment.
MIN_SAMPLES = 40

#: Share of the tokens that must meet the target.
TARGET_QUANTILE = 0.95

#: Share of the target latency that the controller aims for.
TARGET_FACTOR = 0.97

#: Minimum factor by which one adjustment multiplies the limit.
MIN_DECREASE_FACTOR = 0.9

#: Maximum number of requests that one adjustment adds to the limit.
MAX_INCREASE = 2.0

#: One adjustment adds one request to the limit for each such fraction by which the
#: ratio of target to measured latency exceeds 1.
HEADROOM_PER_REQUEST = 0.1

#: Share of the limit that must be in use before the limit increases.
MIN_UTILIZATION = 0.85

#: Sum of the routers' initial limits, as a share of the number of streams that run at
#: the throughput bound.  At two fifths of that number, engines still answer well within
#: the target.
INITIAL_FRACTION = 0.4


@attrs.define
class AdaptiveLimit:
    """
    A limit on requests in flight that keeps token latency within a target.

    The limit decreases multiplicatively and increases additively, so that the
    limits of routers that share engines converge.  It increases only while at least
    `MIN_UTILIZATION` of it is in use, since otherwise it is not what limits the load.

    Attributes
    ----------
    target : float
        Maximum time between tokens, in seconds, for 95 of 100 tokens.
    limit : float
        Maximum number of requests in flight.
    min_limit, max_limit : float
        Lower and upper bound of `limit`.
    gaps : list of float
        Times between tokens measured since the last adjustment, in seconds.
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
        """Record a measured time between two tokens, in seconds."""
        self.gaps.append(gap)

    def adjust(self, in_flight: int, now: float) -> None:
        """
        Adjust the limit if the interval has passed and there are enough samples.

        An adjustment discards the samples that it has used.

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
        """
        Return the ratio of the latency aimed for to the measured latency.

        The ratio is below 1 if tokens are late.
        """
        self.gaps.sort()
        measured = self.gaps[int(TARGET_QUANTILE * (len(self.gaps) - 1))]
        return TARGET_FACTOR * self.target / max(measured, 1e-9)


def initial_limit(bound: float, between_tokens: float, routers: int) -> float:
    """
    Return a router's initial limit on requests in flight.

    By Little's law, the rate bound times the target time between tokens is the number
    of streams that run at the bound.  The routers share `INITIAL_FRACTION` of it.

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
