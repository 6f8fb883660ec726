"""The pure transition that answers a claim."""

import attrs

from lentilhaven.control.claim import ClaimAnswer, ClaimOutcome, ClaimRequest
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.idempotency.entry_machine import next_state
from lentilhaven.idempotency.journal_entry import EntryState, JournalEntry
from lentilhaven.idempotency.journal_layout import entry_key
from lentilhaven.idempotency.segment import CLAIM_BYTES, Segment, drop_old_responses

Claimed = tuple[Segment, ClaimAnswer]


def apply_claim(
    segment: Segment, bucket: int, claim: ClaimRequest, wall: float
) -> Claimed:
    """
    Answer a claim on a segment.

    Parameters
    ----------
    segment : Segment
        What the store holds.
    bucket : int
        The bucket of the claim's key.
    claim : ClaimRequest
        The claim.
    wall : float
        Time of day, in seconds since 1970.

    Returns
    -------
    tuple
        The segment after, and an answer that holds once that segment is
        confirmed in the store.
    """
    if segment.bucket > bucket:
        return segment, ClaimAnswer(ClaimOutcome.EXPIRED)
    opened = segment if segment.bucket == bucket else Segment(bucket)
    if entry_key(claim) not in opened.entries:
        return first_claim(segment, opened, claim, wall)
    return repeat_claim(segment, opened, claim, wall)


def repeat_claim(
    segment: Segment, opened: Segment, claim: ClaimRequest, wall: float
) -> Claimed:
    """Answer a claim on a call that the journal knows."""
    key = entry_key(claim)
    entry = opened.entries[key]
    if entry.fingerprint != claim.fingerprint:
        return segment, ClaimAnswer(ClaimOutcome.MISMATCH)
    if claim.request in entry.withdrawn:
        return segment, withdrawn_answer()
    if entry.state is EntryState.DONE:
        return segment, ClaimAnswer(ClaimOutcome.REPLAY, entry.response)
    if entry.state is EntryState.ABANDONED:
        return grant(opened, key, entry, claim, wall, "claim")
    if entry.state is EntryState.CLAIMED and entry.request == claim.request:
        return segment, ClaimAnswer(ClaimOutcome.GRANTED)
    return unsettled_claim(opened, entry, claim, wall)


def unsettled_claim(
    segment: Segment, entry: JournalEntry, claim: ClaimRequest, wall: float
) -> Claimed:
    """Answer a claim on a call that another request holds."""
    unknown = entry.state is EntryState.UNKNOWN or entry.overdue(wall)
    if unknown and claim.rerun_unknown:
        return grant(segment, entry_key(claim), entry, claim, wall, "rerun")
    outcome = ClaimOutcome.UNKNOWN if unknown else ClaimOutcome.IN_PROGRESS
    return segment, ClaimAnswer(outcome, holder=entry.request)


def first_claim(
    segment: Segment, opened: Segment, claim: ClaimRequest, wall: float
) -> Claimed:
    """Grant a call that the journal does not know, if there is room."""
    if opened.size > CLAIM_BYTES:
        opened = drop_old_responses(opened, wall)
    if opened.size > CLAIM_BYTES:
        detail = "the journal's object for this key is full; use a new key"
        failure = Failure(Step.CLAIM, "", "journal-full", detail, retry_after=60.0)
        return segment, ClaimAnswer(ClaimOutcome.UNAVAILABLE, failure=failure)
    absent = JournalEntry(claim.fingerprint, claim.request, EntryState.ABSENT)
    return grant(opened, entry_key(claim), absent, claim, wall, "claim")


def grant(
    segment: Segment,
    key: str,
    entry: JournalEntry,
    claim: ClaimRequest,
    wall: float,
    trigger: str,
) -> Claimed:
    """Return the segment in which a claim holds the call."""
    granted = attrs.evolve(
        entry,
        request=claim.request,
        state=next_state(entry.state, trigger),
        claimed_at=wall,
        in_progress_limit=claim.in_progress_limit,
    )
    return segment.put(key, granted), ClaimAnswer(ClaimOutcome.GRANTED)


def withdrawn_answer() -> ClaimAnswer:
    """Return the answer to a claim whose request has given the call up."""
    detail = "the request has given the call up"
    failure = Failure(Step.CLAIM, "", "claim-withdrawn", detail, retry_after=1.0)
    return ClaimAnswer(ClaimOutcome.UNAVAILABLE, failure=failure)
