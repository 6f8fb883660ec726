"""The content of one journal object."""

from typing import Any

import attrs

from lentilhaven.core.hashing import canonical_json
from lentilhaven.idempotency.journal_entry import (
    JournalEntry,
    decode_entry,
    encode_entry,
)

#: Size above which an object accepts no more claims, in bytes.
MAX_BYTES_FOR_CLAIMS = 700_000

#: Size above which an object records no more responses, in bytes.
MAX_BYTES_FOR_RESPONSES = 850_000

#: Seconds after the claim for which a response is kept in an object that is nearly
#: full.
RESPONSE_RETENTION = 86_400.0


@attrs.frozen
class Segment:
    """
    The journal entries of one object.

    Attributes
    ----------
    bucket : int
        Newest bucket that has used the object; it never decreases.
    entries : dict
        `JournalEntry` by the key that `entry_key` returns.
    size : int
        Approximate size of the JSON form, in bytes.
    """

    bucket: int = 0
    entries: dict[str, JournalEntry] = attrs.field(factory=dict)
    size: int = 0

    def with_entry(self, key: str, entry: JournalEntry) -> "Segment":
        """
        Return a segment with one entry set.

        Parameters
        ----------
        key : str
            The call's key, as returned by `entry_key`.
        entry : JournalEntry
            The entry.
        """
        before = self.entries.get(key)
        size = self.size + entry_size(entry) - (entry_size(before) if before else 0)
        return Segment(self.bucket, self.entries | {key: entry}, size)


def drop_old_responses(segment: Segment, wall_time: float) -> Segment:
    """
    Return a segment without the responses of calls claimed a long time ago.

    The entries of these calls are kept: a repeated call is told that the call has
    run and that its response is no longer available.

    Parameters
    ----------
    segment : Segment
        The segment.
    wall_time : float
        Wall-clock time, in seconds since 1970.
    """
    oldest = wall_time - RESPONSE_RETENTION
    entries = {
        key: attrs.evolve(entry, response=None)
        if entry.response is not None and entry.claimed_at < oldest
        else entry
        for key, entry in segment.entries.items()
    }
    size = sum(entry_size(entry) for entry in entries.values())
    return Segment(segment.bucket, entries, size)


def entry_size(entry: JournalEntry) -> int:
    """
    Return the approximate size of an entry's JSON form, in bytes.

    Examples
    --------
    >>> from lentilhaven.idempotency.journal_entry import EntryState
    >>> entry_size(JournalEntry("f" * 32, "r" * 32, EntryState.DONE)) > 64
    True
    """
    size = 110 + len(entry.fingerprint) + len(entry.request)
    size += sum(len(request) + 3 for request in entry.withdrawn)
    if entry.response is not None:
        size += 20 + len(entry.response.body) + len(entry.response.content_type)
    return size


def encode_segment(segment: Segment) -> dict[str, Any]:
    """Return the JSON form of a segment."""
    entries = {key: encode_entry(entry) for key, entry in segment.entries.items()}
    return {"bucket": segment.bucket, "entries": entries}


def decode_segment(document: dict[str, Any]) -> Segment:
    """Return the segment that a JSON form represents."""
    entries = {
        key: decode_entry(encoded) for key, encoded in document["entries"].items()
    }
    size = sum(entry_size(entry) for entry in entries.values())
    return Segment(document["bucket"], entries, size)


def segment_text(segment: Segment) -> str:
    """Return a canonical text, equal for equal segments, to compare them in tests."""
    return canonical_json(encode_segment(segment))
