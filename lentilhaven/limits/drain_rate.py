"""The rate at which a full queue drains."""

import attrs

#: Weight of a new measurement.
WEIGHT = 0.2

#: Seconds of one measurement.
PERIOD = 0.5


@attrs.define
class DrainRate:
    """
    Completed tokens per second while requests were held back.

    Attributes
    ----------
    rate : float
        Tokens per second; begins with this router's part of the pool's bound.
    began : float
        Monotonic time at which the current measurement began, in seconds.
    done : float
        Tokens completed since then.
    busy : bool
        Whether requests were held back all the while.
    """

    rate: float
    began: float = 0.0
    done: float = 0.0
    busy: bool = False

    def finish(self, tokens: float, now: float, held_back: bool) -> None:
        """
        Count a completed request.

        Parameters
        ----------
        tokens : float
            Its cost.
        now : float
            Monotonic time, in seconds.
        held_back : bool
            Whether requests wait in the queue.
        """
        self.done += tokens
        self.busy = self.busy and held_back
        passed = now - self.began
        if passed < PERIOD:
            return
        if self.busy:
            self.rate += WEIGHT * (self.done / passed - self.rate)
        self.began, self.done, self.busy = now, 0.0, held_back
