"""Steps taken while an overload lasts."""

import attrs

#: Seconds of one measurement.
PERIOD = 1.0

#: Part of the requests refused above which the next step is taken.
RISE_ABOVE = 0.3

#: Part of the requests refused below which a step is taken back.
FALL_BELOW = 0.05

#: Factor on the time that a request may wait, by step and priority class.
STEPS = (
    {"high": 1.0, "normal": 1.0, "low": 1.0},
    {"high": 1.0, "normal": 1.0, "low": 0.25},
    {"high": 1.0, "normal": 1.0, "low": 0.0},
)


@attrs.define
class BrownOut:
    """
    The step in force.

    Each step shortens the queue of the low class, so that what else is admitted
    is answered sooner.

    Attributes
    ----------
    step : int
        Index into `STEPS`.
    began : float
        Monotonic time at which the measurement began, in seconds.
    offered, refused : int
        Requests since then.

    Examples
    --------
    >>> steps = BrownOut()
    >>> for tenth in range(25):
    ...     steps.observe(True, tenth / 10)
    >>> steps.step, steps.budget_factor("low")
    (2, 0.0)
    """

    step: int = 0
    began: float = 0.0
    offered: int = 0
    refused: int = 0

    def observe(self, refused: bool, now: float) -> None:
        """
        Count a request.

        Parameters
        ----------
        refused : bool
            Whether it was refused.
        now : float
            Monotonic time, in seconds.
        """
        self.offered += 1
        self.refused += refused
        if now - self.began < PERIOD:
            return
        share = self.refused / self.offered
        if share > RISE_ABOVE:
            self.step = min(self.step + 1, len(STEPS) - 1)
        elif share < FALL_BELOW:
            self.step = max(self.step - 1, 0)
        self.began, self.offered, self.refused = now, 0, 0

    def budget_factor(self, priority: str) -> float:
        """Return the factor on the time that a request may wait."""
        return STEPS[self.step].get(priority, 1.0)
