"""Graceful degradation by numeric priority while an overload lasts."""

import math
from collections import Counter

import attrs

from lentilhaven.limits.brown_out import (
    ESCALATE_ABOVE,
    MEASUREMENT_INTERVAL,
    RELAX_BELOW,
)

#: Factors by which the wait that is allowed to a priority is multiplied, by the number
#: of steps taken against it.
STEP_FACTORS = (1.0, 0.25, 0.0)

#: Minimum number of more urgent requests whose refusals justify a step.  A gateway with
#: one request per second would otherwise degrade others after a single refusal.
MIN_REQUESTS = 4

#: Seconds after which a measurement ends with fewer requests, and without any request
#: after which no step remains in force.
MAX_MEASUREMENT = 4.0


@attrs.define
class PriorityBrownOut:
    """
    Shortens the wait of less urgent requests while more urgent ones are refused.

    A step against a priority is taken when more than a share of `ESCALATE_ABOVE` of the
    more urgent requests was refused, the least urgent priority first, and reverted when
    the share is below `RELAX_BELOW`, the most urgent one first.  Refusals of a priority
    itself, or of less urgent ones, do not count: they are no loss to more urgent ones.

    Attributes
    ----------
    steps : dict
        Number of steps in force by priority; a priority without steps has no entry.
    window_start, last_observed : float
        Times at which the measurement started and of the last request, in seconds.
    offered, refused : Counter
        Number of requests, and of those that were refused, by priority, since
        `window_start`.
    seen : set of int
        Priorities seen since the last pause of `MAX_MEASUREMENT`.

    Examples
    --------
    >>> steps = PriorityBrownOut()
    >>> for tenth in range(25):
    ...     steps.observe(tenth % 2, True, tenth / 10)
    >>> steps.wait_factor(0), steps.wait_factor(1)
    (1.0, 0.0)
    """

    steps: dict[int, int] = attrs.field(factory=dict)
    window_start: float = -math.inf
    last_observed: float = -math.inf
    offered: Counter[int] = attrs.field(factory=Counter)
    refused: Counter[int] = attrs.field(factory=Counter)
    seen: set[int] = attrs.field(factory=set)

    def observe(self, priority: int, refused: bool, now: float) -> None:
        """
        Count a request, and change the steps at the end of a measurement.

        Parameters
        ----------
        priority : int
            Priority of the request.
        refused : bool
            Whether it was refused since the wait was too long.  A refusal by brown-out
            does not count.
        now : float
            Current time, in seconds.
        """
        if now - self.last_observed > MAX_MEASUREMENT:
            self.steps, self.seen = {}, set()
            self.begin_measurement(now)
        self.last_observed = now
        self.seen.add(priority)
        self.offered[priority] += 1
        self.refused[priority] += refused
        if self.is_measured(now):
            self.change_step()
            self.begin_measurement(now)

    def begin_measurement(self, now: float) -> None:
        """Start to count anew."""
        self.window_start = now
        self.offered, self.refused = Counter(), Counter()

    def is_measured(self, now: float) -> bool:
        """Return whether a measurement has enough requests or lasts too long."""
        elapsed = now - self.window_start
        urgent = self.offered.total() - self.offered[max(self.seen)]
        return elapsed >= MAX_MEASUREMENT or (
            elapsed >= MEASUREMENT_INTERVAL and urgent >= MIN_REQUESTS
        )

    def change_step(self) -> None:
        """Take or revert at most one step."""
        last = len(STEP_FACTORS) - 1
        degradable = sorted(self.seen)[1:]
        target = next(
            (it for it in reversed(degradable) if self.steps.get(it, 0) < last), None
        )
        if target is not None and self.are_others_refused(target):
            self.steps[target] = self.steps.get(target, 0) + 1
        elif self.steps:
            self.revert_step(min(self.steps))

    def are_others_refused(self, priority: int) -> bool:
        """Return whether enough requests more urgent than a priority were refused."""
        offered, refused = self.count_more_urgent(priority)
        return offered >= MIN_REQUESTS and refused > ESCALATE_ABOVE * offered

    def revert_step(self, priority: int) -> None:
        """Revert a step against a priority unless more urgent requests are refused."""
        offered, refused = self.count_more_urgent(priority)
        if offered and refused >= RELAX_BELOW * offered:
            return
        self.steps[priority] -= 1
        if not self.steps[priority]:
            del self.steps[priority]

    def count_more_urgent(self, priority: int) -> tuple[int, int]:
        """Return the offered and the refused requests that are more urgent."""
        return (
            sum(it for key, it in self.offered.items() if key < priority),
            sum(it for key, it in self.refused.items() if key < priority),
        )

    def wait_factor(self, priority: int, now: float = -math.inf) -> float:
        """
        Return the factor for the time that a request of a priority may wait.

        Parameters
        ----------
        priority : int
            Priority of the request.
        now : float
            Current time, in seconds; no step counts after `MAX_MEASUREMENT` without
            a request.
        """
        if now - self.last_observed > MAX_MEASUREMENT:
            return 1.0
        return STEP_FACTORS[self.steps.get(priority, 0)]
