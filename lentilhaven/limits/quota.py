"""Division of a workspace's limits between routers."""

import attrs

from lentilhaven.core.ids import VmId

#: Fraction of a limit that is divided evenly, so that a router without demand
#: can admit a first request before its demand is known.
EVEN_FRACTION = 0.2

#: Burst that a quota allows, as the seconds of unused rate that may accumulate.
BURST_SECONDS = 1.0


def share_of_limit(limit: float, demands: dict[VmId, float], router: VmId) -> float:
    """
    Return a router's part of a limit; the parts add up to the limit.

    A fraction `EVEN_FRACTION` of the limit is divided evenly, and the rest in
    proportion to the demand of each router, which is what callers last requested from
    that router.  If all demands are 0, the whole limit is divided evenly.  Every router
    computes all parts from the same demands, without a call to the store.  While
    routers know different demands, the parts may add up to more than the limit, by at
    most the part that follows demand.

    Parameters
    ----------
    limit : float
        Limit over all routers.
    demands : dict
        Demand by router, for all live routers.
    router : str
        The router whose part is returned.

    Examples
    --------
    >>> share_of_limit(10.0, {"a": 3.0, "b": 1.0}, "a")
    7.0
    >>> share_of_limit(10.0, {"a": 0.0, "b": 0.0}, "a")
    5.0
    """
    even = limit / len(demands)
    total = sum(demands.values())
    if total == 0:
        return even
    by_demand = limit * demands[router] / total
    return EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * by_demand


@attrs.define
class Quota:
    """
    A router's part of one workspace's limits.

    Attributes
    ----------
    rate : float
        Maximum requests per second; 0 for no limit.
    concurrency : float
        Maximum number of requests in flight; 0 for no limit.
    tokens : float
        Level of the token bucket: number of requests that may start now.
    refilled_at : float
        Monotonic time of the last refill, in seconds.
    running : int
        Number of requests in flight.

    Examples
    --------
    >>> quota = Quota(rate=2.0, concurrency=0.0, tokens=1.0)
    >>> quota.try_start(0.0), quota.try_start(0.0), quota.try_start(0.5)
    (None, 0.5, None)
    """

    rate: float
    concurrency: float
    tokens: float = 1.0
    refilled_at: float = 0.0
    running: int = 0

    def try_start(self, now: float) -> float | None:
        """
        Start a request and return None, or return the seconds until a retry.

        Parameters
        ----------
        now : float
            Monotonic time, in seconds.
        """
        self.refill(now)
        # A router whose part is below 1 may still run one request.
        if self.concurrency and self.running + 1 > max(1.0, self.concurrency):
            return 1.0
        if self.rate:
            if self.tokens < 1.0:
                return (1.0 - self.tokens) / self.rate
            self.tokens -= 1.0
        self.running += 1
        return None

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued since the last refill, up to the burst."""
        capacity = max(1.0, self.rate * BURST_SECONDS)
        added = (now - self.refilled_at) * self.rate
        self.tokens = min(capacity, self.tokens + added)
        self.refilled_at = now

    def finish(self) -> None:
        """Record that a request has ended."""
        self.running -= 1
