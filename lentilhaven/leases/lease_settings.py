"""Times of a lease."""

import attrs


@attrs.frozen
class LeaseSettings:
    """
    Times of a lease, in seconds.

    Attributes
    ----------
    duration : float
        How long a confirmed write is good for.
    renewal : float
        Time between two renewals.
    margin : float
        Added by an observer for clocks that run at different rates.
    poll : float
        Time between two reads of an observer, and two tries after a failure.
    """

    duration: float = 2.0
    renewal: float = 0.6
    margin: float = 0.2
    poll: float = 0.3
