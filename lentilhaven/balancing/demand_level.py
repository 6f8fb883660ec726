"""Measured demand on a pool, as a fraction of its bound."""

import math

import attrs

#: Minimum duration of one measurement, in seconds.
MEASUREMENT_PERIOD = 0.5

#: Weight of a new measurement in the moving average.
SMOOTHING_FACTOR = 0.3

#: Factor by which the measured demand is multiplied, to leave spare capacity.
HEADROOM = 1.15

#: Number of steps into which the bound is divided.
DEMAND_STEPS = 10

#: Lowest step, so that some spare endpoints are always in use.
MIN_DEMAND_STEP = 3


@attrs.define
class DemandLevel:
    """
    Rate of requests started by this router, as a fraction of its share of the bound.

    Attributes
    ----------
    step : int
        Demand in units of ``1 / DEMAND_STEPS`` of the bound.  It rises after any
        measurement with a higher demand, and falls only when the demand is more than
        1.5 steps lower.
    rate : float
        Moving average of the request rate, in requests per second.
    count : int
        Number of requests counted in the current measurement.
    measured_since : float
        Monotonic time at which the current measurement began, in seconds.

    Examples
    --------
    >>> level = DemandLevel()
    >>> for tenth in range(100):
    ...     level.observe(full_rate=20.0, now=tenth / 10)
    >>> level.step  # 1.15 times half the bound, and one step of hysteresis
    7
    """

    step: int = DEMAND_STEPS
    rate: float = 0.0
    count: int = 0
    measured_since: float = 0.0

    def observe(self, full_rate: float, now: float) -> None:
        """
        Count a started request and update the step after each measurement.

        Parameters
        ----------
        full_rate : float
            Request rate of this router at the bound of the pool, in requests per
            second.
        now : float
            Monotonic time, in seconds.
        """
        self.count += 1
        elapsed = now - self.measured_since
        if elapsed < MEASUREMENT_PERIOD:
            return
        measured = self.count / elapsed
        weight = SMOOTHING_FACTOR if self.rate else 1.0
        self.rate += weight * (measured - self.rate)
        self.count, self.measured_since = 0, now
        target = HEADROOM * self.rate / max(full_rate, 1e-9) * DEMAND_STEPS
        if target > self.step or target < self.step - 1.5:
            self.step = min(DEMAND_STEPS, max(MIN_DEMAND_STEP, math.ceil(target)))
