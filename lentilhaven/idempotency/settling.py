"""The pure transition that records how a call ended."""

import attrs

from lentilhaven.control.claim import RecordedResponse, Settlement, SettleOutcome
from lentilhaven.idempotency.entry_machine import next_state
from lentilhaven.idempotency.journal_entry import EntryState, JournalEntry, withdraw
from lentilhaven.idempotency.journal_layout import entry_key
from lentilhaven.idempotency.segment import RECORD_BYTES, Segment

TRIGGERS = {
    SettleOutcome.DONE: "settle_done",
    SettleOutcome.ABANDONED: "settle_abandoned",
    SettleOutcome.UNKNOWN: "settle_unknown",
}


def apply_settlement(segment: Segment, bucket: int, settlement: Settlement) -> Segment:
    """
    Record how a call ended.

    Only the request that holds a call settles it.  A request that does not hold
    it can merely withdraw, so that a claim of its own that is still under way
    is not granted later and then left without a settlement.

    Parameters
    ----------
    segment : Segment
        What the store holds.
    bucket : int
        The bucket of the call's key.
    settlement : Settlement
        How the call ended.

    Returns
    -------
    Segment
        The segment after; the same one if there is nothing to record.
    """
    if segment.bucket > bucket:
        return segment
    opened = segment if segment.bucket == bucket else Segment(bucket)
    claim = settlement.claim
    key = entry_key(claim)
    entry = opened.entries.get(key)
    if entry is None:
        entry = JournalEntry(claim.fingerprint, claim.request, EntryState.ABSENT)
    if entry.request != claim.request:
        return withdraw_other(segment, key, entry, settlement)
    settled = settle_entry(entry, settlement, opened.size)
    return segment if settled == entry else opened.put(key, settled)


def withdraw_other(
    segment: Segment, key: str, entry: JournalEntry, settlement: Settlement
) -> Segment:
    """Remember that a request which does not hold the call has given it up."""
    if settlement.outcome is not SettleOutcome.ABANDONED:
        return segment
    withdrawn = withdraw(entry, settlement.claim.request)
    return segment if withdrawn == entry else segment.put(key, withdrawn)


def settle_entry(
    entry: JournalEntry, settlement: Settlement, size: int
) -> JournalEntry:
    """Return an entry after the request that holds it has settled it."""
    state = next_state(entry.state, TRIGGERS[settlement.outcome])
    if state is EntryState.ABANDONED:
        return withdraw(attrs.evolve(entry, state=state), settlement.claim.request)
    if state is EntryState.DONE and entry.state is not EntryState.DONE:
        response = fitting_response(settlement.response, size)
        return attrs.evolve(entry, state=state, response=response)
    return attrs.evolve(entry, state=state)


def fitting_response(
    response: RecordedResponse | None, size: int
) -> RecordedResponse | None:
    """Return a response without its body if the object has no room for it."""
    if response is None or size + len(response.body) <= RECORD_BYTES:
        return response
    return attrs.evolve(response, body="", truncated=True)
