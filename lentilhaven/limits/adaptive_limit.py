"""A limit on requests in flight that follows measured latency."""

import attrs

#: Seconds of measurements behind one adjustment.
PERIOD = 0.25

#: Fewest tokens behind one adjustment.
MIN_SAMPLES = 20

#: Part of the tokens that has to meet the target.
SHARE_IN_TIME = 0.95

#: Part of the target that the limit steers at.
MARGIN = 0.94

#: Least and greatest factor of one adjustment.
LEAST_FACTOR, GREATEST_FACTOR = 0.9, 1.05

#: Part of the limit that must be in use before it grows.
BUSY_SHARE = 0.9


@attrs.define
class AdaptiveLimit:
    """
    Most requests in flight, adjusted so that tokens come in time.

    The limit moves by the ratio of target and measured time between tokens, and
    grows only while it is what holds requests back.

    Attributes
    ----------
    target : float
        Seconds between tokens for 95 of 100 tokens.
    limit : float
        Most requests in flight.
    least, greatest : float
        Bounds of the limit.
    gaps : list of float
        Seconds between tokens since the last adjustment.
    adjusted : float
        Monotonic time of the last adjustment, in seconds.

    Examples
    --------
    >>> limit = AdaptiveLimit(target=0.05, limit=100.0)
    >>> for step in range(40):
    ...     limit.observe(0.08)
    >>> limit.adjust(in_flight=100, now=1.0)
    >>> limit.limit
    90.0
    """

    target: float
    limit: float = 32.0
    least: float = 2.0
    greatest: float = 10_000.0
    gaps: list[float] = attrs.field(factory=list)
    adjusted: float = 0.0

    def observe(self, gap: float) -> None:
        """Take in the seconds between two tokens."""
        self.gaps.append(gap)

    def adjust(self, in_flight: int, now: float) -> None:
        """
        Adjust the limit if a period is over.

        Parameters
        ----------
        in_flight : int
            Requests in flight.
        now : float
            Monotonic time, in seconds.
        """
        if now - self.adjusted < PERIOD or len(self.gaps) < MIN_SAMPLES:
            return
        self.adjusted = now
        factor = self.find_factor()
        self.gaps.clear()
        if factor < 1.0 or in_flight >= BUSY_SHARE * self.limit:
            wanted = self.limit * factor
            self.limit = min(self.greatest, max(self.least, wanted))

    def find_factor(self) -> float:
        """Return the factor by which to move the limit."""
        self.gaps.sort()
        measured = self.gaps[int(SHARE_IN_TIME * (len(self.gaps) - 1))]
        ratio = MARGIN * self.target / max(measured, 1e-9)
        return min(GREATEST_FACTOR, max(LEAST_FACTOR, ratio))
