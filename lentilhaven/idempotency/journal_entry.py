"""The journal's entry for one call."""

import enum
from typing import Any

import attrs

from lentilhaven.control.claim import RecordedResponse
from lentilhaven.core.ids import RequestId

#: Maximum number of withdrawn requests in an entry; the oldest are dropped.
MAX_WITHDRAWN = 4


class EntryState(enum.Enum):
    """State of a call in the journal; `ABSENT` if the call has no entry."""

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
        Id of the request that holds the call: the one whose claim was granted
        last, or that settled the call without a claim.
    state : EntryState
        State of the call.
    claimed_at : float
        Wall-clock time of the claim, in seconds since 1970.  It determines whether
        a repeated call is answered "in progress" or "unknown"; neither runs the
        call, unless the claim sets `rerun_unknown`.  It also determines when the
        response is dropped from an object that is nearly full.
    in_progress_limit : float
        Seconds after the claim from which the outcome of an unsettled call counts
        as unknown.
    response : RecordedResponse or None
        The response, if the call is done and its response was kept.
    withdrawn : tuple of str
        Ids of requests that gave up the call and must not be granted it again.
    """

    fingerprint: str
    request: RequestId
    state: EntryState
    claimed_at: float = 0.0
    in_progress_limit: float = 0.0
    response: RecordedResponse | None = None
    withdrawn: tuple[RequestId, ...] = ()

    def is_overdue(self, wall_time: float) -> bool:
        """
        Return whether the claim is older than `in_progress_limit`.

        Parameters
        ----------
        wall_time : float
            Wall-clock time, in seconds since 1970.
        """
        return wall_time - self.claimed_at > self.in_progress_limit


def record_withdrawal(entry: JournalEntry, request: RequestId) -> JournalEntry:
    """
    Return an entry in which a request is recorded as withdrawn.

    Parameters
    ----------
    entry : JournalEntry
        The current entry.
    request : str
        Id of the request.
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
    """Return the entry that a compact JSON form represents."""
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
