"""Which incarnations of endpoints are known to be leaving the fleet."""

import attrs

#: Seconds after which the mark of an endpoint that is no longer listed is forgotten.
MARK_RETENTION = 60.0

#: Seconds for which a new mark is reported to the other gateways, long enough to
#: cover several lost datagrams.
REPORT_TIME = 3.0


@attrs.define
class LeavingMarks:
    """
    Incarnations that have announced, to any gateway, that they are leaving.

    An incarnation never takes its announcement back.

    Attributes
    ----------
    seen_at : dict
        Monotonic time at which the incarnation was last listed or marked, in seconds,
        by incarnation.
    reported_until : dict
        Monotonic time until which the mark is reported to other gateways, in seconds,
        by incarnation.

    Examples
    --------
    >>> marks = LeavingMarks()
    >>> marks.add(("a", 1), now=0.0), marks.add(("a", 1), now=0.1)
    (True, False)
    >>> ("a", 1) in marks, ("a", 2) in marks
    (True, False)
    >>> marks.recent(1.0), marks.recent(9.0)
    ((('a', 1),), ())
    """

    seen_at: dict[tuple[str, int], float] = attrs.field(factory=dict)
    reported_until: dict[tuple[str, int], float] = attrs.field(factory=dict)

    def __contains__(self, incarnation: object) -> bool:
        """Return whether an incarnation is marked."""
        return incarnation in self.seen_at

    def add(self, incarnation: tuple[str, int], now: float) -> bool:
        """Mark an incarnation, and return whether it was not marked before."""
        is_new = incarnation not in self.seen_at
        self.seen_at[incarnation] = now
        if is_new:
            self.reported_until[incarnation] = now + REPORT_TIME
        return is_new

    def recent(self, now: float) -> tuple[tuple[str, int], ...]:
        """Return the marks to report to the other gateways."""
        return tuple(
            incarnation
            for incarnation, until in self.reported_until.items()
            if now < until
        )

    def remove_gone(self, listed: set[tuple[str, int]], now: float) -> None:
        """
        Forget the marks of endpoints that have not been listed for a while.

        The mark of an endpoint that does not state its start is forgotten at once: its
        next incarnation can't be told apart from it.
        """
        for incarnation, seen_at in list(self.seen_at.items()):
            if incarnation in listed:
                self.seen_at[incarnation] = now
            elif now - seen_at > MARK_RETENTION or not incarnation[1]:
                del self.seen_at[incarnation]
                self.reported_until.pop(incarnation, None)
