"""Rate limit for repeated log lines."""

import time
from collections import OrderedDict
from collections.abc import Callable, MutableMapping
from typing import Any

import attrs
import structlog

#: Maximum number of lines with the same component and event in one window.
LINES_PER_WINDOW = 20

#: Length of a window, in seconds.
WINDOW_LENGTH = 10.0

#: Maximum number of events that are counted; beyond it, the count of the least recently
#: logged event is discarded.
MAX_COUNTED_EVENTS = 500


@attrs.define
class EventCount:
    """
    Number of lines with the same component and event in the current window.

    Attributes
    ----------
    window_start : float
        Monotonic time at which the window started, in seconds.
    lines : int
        Lines in this window, dropped ones included.
    dropped : int
        Lines dropped since a line with this event was last written.
    """

    window_start: float
    lines: int = 0
    dropped: int = 0


@attrs.define
class LogLimit:
    """
    A `structlog` processor that drops repeated lines beyond a rate.

    Lines repeat each other if they have the same component and event.  The field
    ``dropped`` of the next such line that is written holds the number of lines dropped
    before it.

    Attributes
    ----------
    lines_per_window : int
        Maximum number of lines with the same component and event in one window.
    monotonic : callable
        Returns monotonic time, in seconds.
    counts : OrderedDict
        `EventCount` by component and event, least recently logged first.

    Examples
    --------
    >>> limit = LogLimit(monotonic=lambda: 0.0)
    >>> for _ in range(LINES_PER_WINDOW):
    ...     line = limit(None, "info", {"event": "refused"})
    >>> limit(None, "info", {"event": "refused"})
    Traceback (most recent call last):
        ...
    structlog.exceptions.DropEvent
    """

    lines_per_window: int = LINES_PER_WINDOW
    monotonic: Callable[[], float] = time.monotonic
    counts: OrderedDict[tuple[str, str], EventCount] = attrs.field(factory=OrderedDict)

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line, or raise `structlog.DropEvent` if it is over the limit."""
        count = self.count_for((str(event.get("component")), str(event.get("event"))))
        now = self.monotonic()
        if now - count.window_start >= WINDOW_LENGTH:
            count.window_start, count.lines = now, 0
        count.lines += 1
        if count.lines > self.lines_per_window:
            count.dropped += 1
            raise structlog.DropEvent
        if count.dropped:
            event["dropped"] = count.dropped
            count.dropped = 0
        return event

    def count_for(self, key: tuple[str, str]) -> EventCount:
        """
        Return the count of an event, and mark the event as the last one logged.

        Beyond `MAX_COUNTED_EVENTS`, the count of the least recently logged event is
        discarded.

        Parameters
        ----------
        key : tuple of str
            Component and event.
        """
        found = self.counts.pop(key, None) or EventCount(self.monotonic())
        self.counts[key] = found
        if len(self.counts) > MAX_COUNTED_EVENTS:
            self.counts.popitem(last=False)
        return found
