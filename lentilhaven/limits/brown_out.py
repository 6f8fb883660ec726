"""Graceful degradation in steps while an overload lasts."""

import attrs

#: Duration of one measurement of the refusal rate, in seconds.
MEASUREMENT_INTERVAL = 1.0

#: Share of refused requests above which the next step takes effect.
ESCALATE_ABOVE = 0.3

#: Share of refused requests below which a step is reverted.
RELAX_BELOW = 0.05

#: Factor by which the time that a request may wait is multiplied, by step and priority
#: class.
STEPS = (
    {"high": 1.0, "normal": 1.0, "low": 1.0},
    {"high": 1.0, "normal": 1.0, "low": 0.25},
    {"high": 1.0, "normal": 1.0, "low": 0.0},
)


@attrs.define
class BrownOut:
    """
    The current degradation step.

    Each step shortens the time that requests of the low priority class may wait, so
    that the other admitted requests are answered sooner.

    Attributes
    ----------
    step : int
        Index into `STEPS`.
    window_start : float
        Monotonic time at which the measurement started, in seconds.
    offered, refused : int
        Number of requests, and number of refused requests, since `window_start`.

    Examples
    --------
    >>> steps = BrownOut()
    >>> for tenth in range(25):
    ...     steps.observe(True, tenth / 10)
    >>> steps.step, steps.wait_factor("low")
    (2, 0.0)
    """

    step: int = 0
    window_start: float = 0.0
    offered: int = 0
    refused: int = 0

    def observe(self, refused: bool, now: float) -> None:
        """
        Count a request, and change the step at the end of a measurement.

        Parameters
        ----------
        refused : bool
            Whether the request was refused.
        now : float
            Monotonic time, in seconds.
        """
        self.offered += 1
        self.refused += refused
        if now - self.window_start < MEASUREMENT_INTERVAL:
            return
        share = self.refused / self.offered
        if share > ESCALATE_ABOVE:
            self.step = min(self.step + 1, len(STEPS) - 1)
        elif share < RELAX_BELOW:
            self.step = max(self.step - 1, 0)
        self.window_start, self.offered, self.refused = now, 0, 0

    def wait_factor(self, priority: str) -> float:
        """Return the factor for the time that a request of a class may wait."""
        return STEPS[self.step].get(priority, 1.0)
