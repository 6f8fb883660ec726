"""What the journal holds of one call."""

import enum
from typing import Any

import attrs

from lentilhaven.control.claim import RecordedResponse
from lentilhaven.core.ids import RequestId

#: Withdrawn requests that an entry remembers.
MAX_WITHDRAWN = 4


class EntryState(enum.Enum):
    """The states of a call in the journal."""

    ABSENT = "absent"
    CLAIMED = "claimed"
    ABANDONED = "abandoned"
    DONE = "done"
    UNKNOWN = "unknown"


@attrs.frozen
class JournalEntry:
    """
    A call in the journal.

    Attributes
    ----------
    fingerprint : str
        Hash of method, path and body.
    request : str
        The request that holds the call.
    state : EntryState
        How far the call got.
    claimed_at : float
        Wall time of the claim, in seconds since 1970.  It only decides whether
        a repeat is told "in progress" or "unknown"; neither runs.
    in_progress_limit : float
        Seconds after which a claim without a settlement counts as unknown.
    response : RecordedResponse or None
        Set when the call is done and its response was kept.
    withdrawn : tuple of str
        Requests that gave the call up and must not be granted it again.
    """

    fingerprint: str
    request: RequestId
    state: EntryState
    claimed_at: float = 0.0
    in_progress_limit: float = 0.0
    response: RecordedResponse | None = None
    withdrawn: tuple[RequestId, ...] = ()

    def overdue(self, wall: float) -> bool:
        """
        Return whether a claim has been left without a settlement.

        Parameters
        ----------
        wall : float
            Time of day, in seconds since 1970.
        """
        return wall - self.claimed_at > self.in_progress_limit


def withdraw(entry: JournalEntry, request: RequestId) -> JournalEntry:
    """
    Return an entry that remembers a withdrawn request.

    Parameters
    ----------
    entry : JournalEntry
        The entry before.
    request : str
        The request.
    """
    if request in entry.withdrawn:
        return entry
    kept = (*entry.withdrawn, request)[-MAX_WITHDRAWN:]
    return attrs.evolve(entry, withdrawn=kept)


def encode_entry(entry: JournalEntry) -> list[Any]:
    """Return the compact JSON form of an entry."""
    response = entry.response
    recorded = None
    if response is not None:
        recorded = [
            response.status,
            response.content_type,
            response.body,
            response.truncated,
        ]
    return [
        entry.fingerprint,
        entry.request,
        entry.state.value,
        round(entry.claimed_at, 3),
        entry.in_progress_limit,
        recorded,
        list(entry.withdrawn),
    ]


def decode_entry(document: list[Any]) -> JournalEntry:
    """Return the entry of a compact JSON form."""
    fingerprint, request, state, claimed_at, limit, recorded, withdrawn = document
    response = RecordedResponse(*recorded) if recorded else None
    return JournalEntry(
        fingerprint,
        RequestId(request),
        EntryState(state),
        claimed_at,
        limit,
        response,
        tuple(withdrawn),
    )
