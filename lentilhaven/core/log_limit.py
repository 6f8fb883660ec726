"""A limit on repeated log lines."""

import time
from collections import OrderedDict
from collections.abc import Callable, MutableMapping
from typing import Any

import attrs
import structlog

#: Lines of one text that are written in a window.
LINES_PER_WINDOW = 20

#: Length of a window, in seconds.
WINDOW = 10.0

#: Texts that are told apart; the oldest is forgotten first.
TEXTS_HELD = 500


@attrs.define
class RepeatedText:
    """
    How often one text was seen in its window.

    Attributes
    ----------
    began : float
        Start of the window, in seconds.
    lines : int
        Lines of this window.
    dropped : int
        Lines dropped since the last one that was written.
    """

    began: float
    lines: int = 0
    dropped: int = 0


@attrs.define
class LogLimit:
    """
    A `structlog` processor that drops repeated lines beyond a rate.

    The next line that is written says in ``dropped`` how many went before it.

    Attributes
    ----------
    lines_per_window : int
        Lines of one text that are written in a window.
    monotonic : callable
        Returns seconds.
    texts : OrderedDict
        `RepeatedText` by component and text.

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
    texts: OrderedDict[tuple[str, str], RepeatedText] = attrs.field(factory=OrderedDict)

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the line, or raise `structlog.DropEvent`."""
        text = self.find((str(event.get("component")), str(event.get("event"))))
        now = self.monotonic()
        if now - text.began >= WINDOW:
            text.began, text.lines = now, 0
        text.lines += 1
        if text.lines > self.lines_per_window:
            text.dropped += 1
            raise structlog.DropEvent
        if text.dropped:
            event["dropped"] = text.dropped
            text.dropped = 0
        return event

    def find(self, key: tuple[str, str]) -> RepeatedText:
        """Return the count of a text, and forget the oldest if there are many."""
        found = self.texts.pop(key, None) or RepeatedText(self.monotonic())
        self.texts[key] = found
        if len(self.texts) > TEXTS_HELD:
            self.texts.popitem(last=False)
        return found
