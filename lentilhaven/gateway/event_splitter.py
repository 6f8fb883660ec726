"""Whole events out of the bytes of a stream."""

import re

import attrs

#: The id of an event (WHATWG HTML, "Server-sent events").
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")

#: What ends an event.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")


@attrs.frozen
class Events:
    """
    Whole events.

    Attributes
    ----------
    data : bytes
        The events as they arrived.
    ids : tuple of str
        Ids of those that have one.
    """

    data: bytes
    ids: tuple[str, ...]


@attrs.define
class EventSplitter:
    r"""
    Holds back what is not yet a whole event.

    Attributes
    ----------
    rest : bytes
        Start of an event whose end has not arrived.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    Events(data=b'id: 1\ndata: a\n\n', ids=('1',))
    >>> splitter.feed(b"ta: b\n\n").ids
    ('2',)
    """

    rest: bytes = b""

    def feed(self, chunk: bytes) -> Events:
        """
        Take bytes and return the events that they complete.

        Parameters
        ----------
        chunk : bytes
            What arrived.
        """
        data = self.rest + chunk if self.rest else chunk
        end = max(end_of_last(data, mark) for mark in EVENT_ENDS)
        self.rest = data[end:]
        whole = data[:end]
        ids = tuple(found.decode("latin-1") for found in EVENT_ID.findall(whole))
        return Events(whole, ids)


def end_of_last(data: bytes, mark: bytes) -> int:
    """Return the position after the last mark, or 0 if there is none."""
    at = data.rfind(mark)
    return at + len(mark) if at >= 0 else 0
