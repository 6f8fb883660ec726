"""The order of a stream's events, by their ids."""

from collections.abc import Sequence

import attrs

from lentilhaven.answers.event_splitter import Events

#: Digits of an id that is compared as a number.
MAX_DIGITS = 18


@attrs.define
class EventOrder:
    """
    How far a stream has come, and how its ids rise.

    Attributes
    ----------
    last_event_id : str
        Id of the last event; before the first one, of the event after which the caller
        wants to go on, empty for all events.
    rises_by_one : bool or None
        Whether each id was by one greater than the one before; None before two events.
    has_unnamed : bool
        Whether an event without an id was relayed, so that no run can go on after it.
    has_events : bool
        Whether an event with an id was relayed.
    """

    last_event_id: str = ""
    rises_by_one: bool | None = None
    has_unnamed: bool = False
    has_events: bool = False

    def find_fault(self, events: Events, begins_run: bool) -> str:
        """
        Return why events must not follow those before; empty if they may.

        Only the join of two runs is checked, and that all events have ids if some have:
        what has none is no event of such a stream.

        Parameters
        ----------
        events : Events
            Events of a run.
        begins_run : bool
            Whether they are the first ones of a run that goes on after an event.
        """
        has_ids = begins_run or self.has_events or len(events.ids) > 0
        if events.unnamed and has_ids:
            return "an event without an id"
        if begins_run and events.ids and not self.follows(events.ids[0]):
            return f"event {events.ids[0]!r} after {self.last_event_id!r}"
        return ""

    def follows(self, event_id: str) -> bool:
        """
        Return whether an event may be the next one.

        Examples
        --------
        >>> order = EventOrder("4")
        >>> [order.follows(it) for it in ("1", "4", "5", "6")]
        [False, False, True, True]
        >>> order.rises_by_one = True
        >>> [order.follows(it) for it in ("5", "6")]
        [True, False]
        """
        step = difference(self.last_event_id, event_id)
        if step is None:
            return event_id != self.last_event_id
        return step == 1 if self.rises_by_one else step > 0

    def note(self, events: Events) -> None:
        """Record events that are relayed."""
        self.has_unnamed |= events.unnamed > 0
        if not events.ids:
            return
        before = (self.last_event_id,) if self.has_events else ()
        self.note_steps((*before, *events.ids))
        self.has_events = True
        self.last_event_id = events.ids[-1]

    def note_steps(self, ids: Sequence[str]) -> None:
        """Record whether consecutive ids rise by one."""
        for before, after in zip(ids, ids[1:], strict=False):
            by_one = difference(before, after) == 1
            self.rises_by_one = by_one and self.rises_by_one is not False


def difference(before: str, after: str) -> int | None:
    """
    Return by how much an id is greater than another; None unless both are numbers.

    Examples
    --------
    >>> difference("4", "6"), difference("4", "x")
    (2, None)
    """
    if not all(
        it.isascii() and it.isdecimal() and len(it) <= MAX_DIGITS
        for it in (before, after)
    ):
        return None
    return int(after) - int(before)
