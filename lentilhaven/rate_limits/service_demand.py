"""How often a gateway is asked for a service, and by which workspaces."""

from collections import Counter, deque

import attrs

#: Seconds over which requests are counted: long enough for a dozen requests at a busy
#: gateway, and short enough to follow a burst.
DEMAND_WINDOW = 1.0

#: Seconds over which the requests of each workspace are counted.
WORKSPACE_WINDOW = 10.0


@attrs.define
class ServiceDemand:
    """
    The requests for one service that a gateway has tried to send.

    Attributes
    ----------
    times : deque of float
        Times of the requests in the last `DEMAND_WINDOW`, in seconds.
    asked : deque of (float, str)
        Times and workspaces of those in the last `WORKSPACE_WINDOW`.
    by_workspace : Counter
        Number of the latter, by workspace.

    Examples
    --------
    >>> demand = ServiceDemand()
    >>> for at in (0.0, 0.5, 0.9):
    ...     demand.record("depot", at)
    >>> demand.rate(0.9), demand.rate(1.2)
    (3.0, 2.0)
    """

    times: deque[float] = attrs.field(factory=deque)
    asked: deque[tuple[float, str]] = attrs.field(factory=deque)
    by_workspace: Counter[str] = attrs.field(factory=Counter)

    def record(self, workspace: str, now: float) -> None:
        """Count a request of a workspace."""
        self.times.append(now)
        self.asked.append((now, workspace))
        self.by_workspace[workspace] += 1
        self.expire(now)

    def rate(self, now: float) -> float:
        """Return the requests per second."""
        self.expire(now)
        return len(self.times) / DEMAND_WINDOW

    def expire(self, now: float) -> None:
        """Remove what is older than the windows."""
        while self.times and self.times[0] <= now - DEMAND_WINDOW:
            self.times.popleft()
        while self.asked and self.asked[0][0] <= now - WORKSPACE_WINDOW:
            _, workspace = self.asked.popleft()
            self.by_workspace[workspace] -= 1
            if not self.by_workspace[workspace]:
                del self.by_workspace[workspace]
