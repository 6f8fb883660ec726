"""The pure state transition that records the outcome of a call."""

import attrs

from lentilhaven.control.claim import RecordedResponse, Settlement, SettleOutcome
from lentilhaven.idempotency.entry_machine import next_state
from lentilhaven.idempotency.journal_entry import (
    EntryState,
    JournalEntry,
    record_withdrawal,
)
from lentilhaven.idempotency.journal_layout import entry_key
from lentilhaven.idempotency.segment import MAX_BYTES_FOR_RESPONSES, Segment

TRIGGER_BY_OUTCOME = {
    SettleOutcome.DONE: "settle_done",
    SettleOutcome.ABANDONED: "settle_abandoned",
    SettleOutcome.UNKNOWN: "settle_unknown",
}


def apply_settlement(segment: Segment, bucket: int, settlement: Settlement) -> Segment:
    """
    Record the outcome of a call.

    If the call has an entry, only the request that holds the call can settle it.
    Any other request can only withdraw, so that its own claim, if still in flight,
    is not granted later and then left without a settlement.  If the call has no
    entry, the request that sends the settlement is treated as its holder.

    Parameters
    ----------
    segment : Segment
        The content of the stored object.
    bucket : int
        Number of the time span (bucket) to which the call's key belongs, 0 for a
        key without a time; see `JournalLayout`.
    settlement : Settlement
        The settlement.

    Returns
    -------
    Segment
        The resulting segment; the same object if there is nothing to record.
    """
    if segment.bucket > bucket:
        # The object has been overwritten for a newer bucket.
        return segment
    current = segment if segment.bucket == bucket else Segment(bucket)
    claim = settlement.claim
    key = entry_key(claim)
    entry = current.entries.get(key)
    if entry is None:
        entry = JournalEntry(claim.fingerprint, claim.request, EntryState.ABSENT)
    if entry.request != claim.request:
        return withdraw_non_holder(segment, key, entry, settlement)
    settled = settle_entry(entry, settlement, current.size)
    return segment if settled == entry else current.with_entry(key, settled)


def withdraw_non_holder(
    segment: Segment, key: str, entry: JournalEntry, settlement: Settlement
) -> Segment:
    """Record the withdrawal of a request that does not hold the call."""
    if settlement.outcome is not SettleOutcome.ABANDONED:
        return segment
    withdrawn = record_withdrawal(entry, settlement.claim.request)
    return segment if withdrawn == entry else segment.with_entry(key, withdrawn)


def settle_entry(
    entry: JournalEntry, settlement: Settlement, size: int
) -> JournalEntry:
    """
    Return the entry as settled by the request that holds the call.

    `size` is the size of the segment, in bytes.
    """
    state = next_state(entry.state, TRIGGER_BY_OUTCOME[settlement.outcome])
    if state is EntryState.ABANDONED:
        return record_withdrawal(
            attrs.evolve(entry, state=state), settlement.claim.request
        )
    if state is EntryState.DONE and entry.state is not EntryState.DONE:
        response = truncate_response(settlement.response, size)
        return attrs.evolve(entry, state=state, response=response)
    return attrs.evolve(entry, state=state)


def truncate_response(
    response: RecordedResponse | None, size: int
) -> RecordedResponse | None:
    """
    Return a response, without its body if the object has no room for the body.

    `size` is the size of the segment in the object, in bytes.
    """
    if response is None or size + len(response.body) <= MAX_BYTES_FOR_RESPONSES:
        return response
    return attrs.evolve(response, body="", truncated=True)
