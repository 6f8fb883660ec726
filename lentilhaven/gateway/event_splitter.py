"""Splitting a byte stream into complete server-sent events."""

import re

import attrs

#: Matches the id of an event (WHATWG HTML, "Server-sent events").
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")

#: Byte sequences that end an event.
EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")


@attrs.frozen
class Events:
    """
    Complete events.

    Attributes
    ----------
    data : bytes
        The bytes of the events, unchanged.
    ids : tuple of str
        Ids of the events that have one.
    """

    data: bytes
    ids: tuple[str, ...]


@attrs.define
class EventSplitter:
    r"""
    Splits a byte stream, and holds back an event until its end has arrived.

    Attributes
    ----------
    remainder : bytes
        Start of an event whose end has not arrived.

    Examples
    --------
    >>> splitter = EventSplitter()
    >>> splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")
    Events(data=b'id: 1\ndata: a\n\n', ids=('1',))
    >>> splitter.feed(b"ta: b\n\n").ids
    ('2',)
    """

    remainder: bytes = b""

    def feed(self, chunk: bytes) -> Events:
        """
        Add bytes and return the events that are now complete.

        Parameters
        ----------
        chunk : bytes
            Bytes as they arrived.
        """
        data = self.remainder + chunk if self.remainder else chunk
        end = max(
            end_of_last_delimiter(data, delimiter) for delimiter in EVENT_DELIMITERS
        )
        self.remainder = data[end:]
        whole = data[:end]
        ids = tuple(found.decode("latin-1") for found in EVENT_ID.findall(whole))
        return Events(whole, ids)


def end_of_last_delimiter(data: bytes, delimiter: bytes) -> int:
    """Return the position after the last delimiter, or 0 if there is none."""
    position = data.rfind(delimiter)
    return position + len(delimiter) if position >= 0 else 0
