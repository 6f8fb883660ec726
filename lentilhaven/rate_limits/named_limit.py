"""The limit that an endpoint names, and how it ends."""

import math

import attrs

#: Seconds for which a limit holds after the last answer that named it: an endpoint that
#: gets few requests says little.
HOLD_TIME = 2.0

#: Seconds in which the rate doubles once the limit is over.  The first answers come
#: before the rate is several times the limit.
DOUBLING_TIME = 1.0

#: Rate from which a limit that is lower grows once it is over, in requests per second.
MIN_GROWING_RATE = 0.5

#: Seconds after the end of a limit from which on the endpoint counts as unlimited.
FORGETTING_TIME = 10.0

#: Seconds by which the same limit must have been named later to replace what a nearer
#: gateway has told: more than datagrams are in transit.
REPEAT_MARGIN = 0.5


@attrs.define
class NamedLimit:
    """
    The limit that an endpoint has last named.

    All points in time are times of the event loop, in seconds.

    Attributes
    ----------
    rate : float
        Requests per second that the endpoint takes from all gateways together.
    named_at : float
        Time of the last answer that named the limit, to any gateway.
    over_since : float or None
        Time of the first later answer that named none; None if there was none.
    distance : int
        Number of gateways through which this has come; 0 from the endpoint itself.

    Examples
    --------
    >>> limit = NamedLimit(rate=6.0, named_at=10.0)
    >>> limit.current(11.0), limit.current(13.0)
    (6.0, 12.0)
    """

    rate: float
    named_at: float
    over_since: float | None = None
    distance: int = 0

    def current(self, now: float) -> float:
        """
        Return the requests per second that the endpoint takes now.

        Once the limit is over, the rate doubles in each `DOUBLING_TIME`: at once it
        would bring all requests to an endpoint that has just recovered, or that has
        not been asked.  It is infinite after `FORGETTING_TIME`.
        """
        elapsed = now - self.ends_at
        if elapsed <= 0.0:
            return self.rate
        if elapsed >= FORGETTING_TIME:
            return math.inf
        return max(self.rate, MIN_GROWING_RATE) * 2.0 ** (elapsed / DOUBLING_TIME)

    @property
    def ends_at(self) -> float:
        """Return the time from which on the rate grows."""
        if self.over_since is not None:
            return self.over_since
        return self.named_at + HOLD_TIME

    def is_replaced_by(self, other: "NamedLimit") -> bool:
        """
        Return whether a statement is a later one, and not this one told again.

        What gateways repeat to each other seems a little later each time.
        """
        if other.named_at <= self.named_at:
            return False
        if other.distance == 0 or other.distance < self.distance:
            return True
        is_repeated = other.named_at < self.named_at + REPEAT_MARGIN
        return not is_repeated or other.rate != self.rate

    def merge(self, other: "NamedLimit") -> "NamedLimit":
        """Return what is known from two statements about the same endpoint."""
        if self.is_replaced_by(other):
            return other
        if other.over_since is None or other.over_since <= self.named_at:
            return self
        ends = [it for it in (self.over_since, other.over_since) if it is not None]
        return attrs.evolve(self, over_since=min(ends))
