"""Duration and intervals of a lease."""

import attrs


@attrs.frozen
class LeaseSettings:
    """
    Duration and intervals of a lease, in seconds.

    Attributes
    ----------
    duration : float
        Time for which a confirmed write is valid.
    renewal_interval : float
        Interval between renewals.
    margin : float
        Added to the duration by observers, because clocks run at different rates.
    poll_interval : float
        Interval between an observer's reads, and between attempts after a
        failure.
    """

    duration: float = 2.0
    renewal_interval: float = 0.6
    margin: float = 0.2
    poll_interval: float = 0.3
