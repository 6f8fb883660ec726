"""The part of a pool's bound that is in demand."""

import math

import attrs

#: Seconds of one measurement.
PERIOD = 0.5

#: Weight of a new measurement.
WEIGHT = 0.3

#: Room above the measured demand.
ROOM = 1.15

#: Steps of the level.
STEPS = 10

#: Least step, so that some spare endpoints always serve.
LEAST_STEP = 3


@attrs.define
class DemandLevel:
    """
    Requests started by this router, as a part of its share of the bound.

    Attributes
    ----------
    step : int
        Level in parts of `STEPS`; rises at once and falls late.
    rate : float
        Requests per second.
    count : int
        Requests in the current measurement.
    began : float
        Monotonic time at which it began, in seconds.

    Examples
    --------
    >>> level = DemandLevel()
    >>> for tenth in range(100):
    ...     level.observe(full_rate=20.0, now=tenth / 10)
    >>> level.step  # 1.15 times a half, and one step of hysteresis
    7
    """

    step: int = STEPS
    rate: float = 0.0
    count: int = 0
    began: float = 0.0

    def observe(self, full_rate: float, now: float) -> None:
        """
        Count a started request.

        Parameters
        ----------
        full_rate : float
            Requests per second of this router at the pool's bound.
        now : float
            Monotonic time, in seconds.
        """
        self.count += 1
        passed = now - self.began
        if passed < PERIOD:
            return
        measured = self.count / passed
        weight = WEIGHT if self.rate else 1.0
        self.rate += weight * (measured - self.rate)
        self.count, self.began = 0, now
        wanted = ROOM * self.rate / max(full_rate, 1e-9) * STEPS
        if wanted > self.step or wanted < self.step - 1.5:
            self.step = min(STEPS, max(LEAST_STEP, math.ceil(wanted)))
