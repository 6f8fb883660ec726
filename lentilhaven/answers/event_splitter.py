"""Splitting a byte stream into complete server-sent events."""

import re

import attrs

#: Matches the id of an event (WHATWG HTML, "Server-sent events").
EVENT_ID = re.compile(rb"(?:^|\n)id: ?([^\r\n]*)")

#: Byte sequences that end an event.
EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n")

#: Matches a block between two delimiters.
BLOCK = re.compile(rb"(?:[^\r\n]+\r?\n)+")

#: Matches a block that contains no event, but only comments or a time for reconnecting.
NO_EVENT = re.compile(rb"(?:(?::|retry:)[^\r\n]*\r?\n)+")


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
    unnamed : int
        Number of events that have none.
    """

    data: bytes
    ids: tuple[str, ...]
    unnamed: int = 0

    @property
    def count(self) -> int:
        """Return the number of events; comments are none."""
        return len(self.ids) + self.unnamed


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
    Events(data=b'id: 1\ndata: a\n\n', ids=('1',), unnamed=0)
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
        return Events(whole, ids, count_unnamed(whole, len(ids)))


def count_unnamed(data: bytes, id_count: int) -> int:
    r"""
    Return the number of events without an id.

    Parameters
    ----------
    data : bytes
        Complete events.
    id_count : int
        Number of ids in them.

    Examples
    --------
    >>> count_unnamed(b"id: 1\ndata: a\n\ndata: b\n\n", 1)
    1
    >>> count_unnamed(b": a comment\n\nid: 1\r\ndata: a\r\n\r\n", 1)
    0
    """
    if sum(data.count(delimiter) for delimiter in EVENT_DELIMITERS) == id_count:
        return 0
    return sum(
        not NO_EVENT.fullmatch(block) and not EVENT_ID.search(block)
        for block in BLOCK.findall(data)
    )


def end_of_last_delimiter(data: bytes, delimiter: bytes) -> int:
    """Return the position after the last delimiter, or 0 if there is none."""
    position = data.rfind(delimiter)
    return position + len(delimiter) if position >= 0 else 0
