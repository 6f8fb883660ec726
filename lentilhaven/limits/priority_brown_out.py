"""Graceful degradation by numeric priority while an overload lasts."""

import attrs

from lentilhaven.limits.brown_out import (
    ESCALATE_ABOVE,
    MEASUREMENT_INTERVAL,
    RELAX_BELOW,
)

#: Factors by which the wait that is allowed to a priority is multiplied, by the number
#: of steps taken against it.
STEP_FACTORS = (1.0, 0.25, 0.0)


@attrs.define
class PriorityBrownOut:
    """
    Shortens the wait of the least urgent requests while more urgent ones suffer.

    A step is taken when a share of `ESCALATE_ABOVE` of the requests with waiting more
    urgent ones was refused or late, and reverted below `RELAX_BELOW`.  The most urgent
    priority seen in a measurement is never degraded.

    Attributes
    ----------
    step : int
        Number of steps in force, over all priorities, the least urgent first.
    window_start : float
        Time at which the measurement started, in seconds.
    offered, refused : int
        Number of requests, and of those that were refused, since `window_start`.
    seen : set of int
        Priorities seen since `window_start`.
    degradable : tuple of int
        Priorities that may be degraded, the least urgent first.

    Examples
    --------
    >>> steps = PriorityBrownOut()
    >>> for tenth in range(25):
    ...     steps.observe(tenth % 2, True, tenth / 10)
    >>> steps.wait_factor(0), steps.wait_factor(1)
    (1.0, 0.0)
    """

    step: int = 0
    window_start: float = 0.0
    offered: int = 0
    refused: int = 0
    seen: set[int] = attrs.field(factory=set)
    degradable: tuple[int, ...] = ()

    def observe(self, priority: int, refused: bool, now: float) -> None:
        """
        Count a request, and change the step at the end of a measurement.

        Parameters
        ----------
        priority : int
            Priority of the request.
        refused : bool
            Whether it was refused since the wait was too long.
        now : float
            Current time, in seconds.
        """
        self.offered += 1
        self.refused += refused
        self.seen.add(priority)
        if now - self.window_start < MEASUREMENT_INTERVAL:
            return
        share = self.refused / self.offered
        self.degradable = tuple(sorted(self.seen)[:0:-1])
        last = (len(STEP_FACTORS) - 1) * len(self.degradable)
        if share > ESCALATE_ABOVE:
            self.step = min(self.step + 1, last)
        elif share < RELAX_BELOW:
            self.step = max(min(self.step, last) - 1, 0)
        self.window_start, self.offered, self.refused = now, 0, 0
        self.seen = set()

    def wait_factor(self, priority: int) -> float:
        """Return the factor for the time that a request of a priority may wait."""
        if priority not in self.degradable:
            return 1.0
        rank = self.degradable.index(priority)
        steps = self.step - rank * (len(STEP_FACTORS) - 1)
        return STEP_FACTORS[max(0, min(steps, len(STEP_FACTORS) - 1))]
