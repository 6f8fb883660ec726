"""The pure state transition that answers a claim."""

import attrs

from lentilhaven.control.claim import ClaimAnswer, ClaimOutcome, ClaimRequest
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.idempotency.entry_machine import next_state
from lentilhaven.idempotency.journal_entry import EntryState, JournalEntry
from lentilhaven.idempotency.journal_layout import entry_key
from lentilhaven.idempotency.segment import (
    MAX_BYTES_FOR_CLAIMS,
    Segment,
    drop_old_responses,
)

ClaimResult = tuple[Segment, ClaimAnswer]


def apply_claim(
    segment: Segment, bucket: int, claim: ClaimRequest, wall_time: float
) -> ClaimResult:
    """
    Apply a claim to a segment.

    Parameters
    ----------
    segment : Segment
        The content of the stored object.
    bucket : int
        The bucket of the claim's key; see `JournalLayout`.
    claim : ClaimRequest
        The claim.
    wall_time : float
        Wall-clock time, in seconds since 1970.

    Returns
    -------
    tuple
        The resulting segment, which is the same object if there is nothing to
        write, and an answer that is valid once that segment is confirmed in the
        store.
    """
    if segment.bucket > bucket:
        # The object has been overwritten for a newer bucket.
        return segment, ClaimAnswer(ClaimOutcome.EXPIRED)
    # The entries of an older bucket have expired and are overwritten.
    current = segment if segment.bucket == bucket else Segment(bucket)
    if entry_key(claim) not in current.entries:
        return apply_first_claim(segment, current, claim, wall_time)
    return apply_repeated_claim(segment, current, claim, wall_time)


def apply_repeated_claim(
    segment: Segment, current: Segment, claim: ClaimRequest, wall_time: float
) -> ClaimResult:
    """Answer a claim on a call that has an entry in the journal."""
    key = entry_key(claim)
    entry = current.entries[key]
    if entry.fingerprint != claim.fingerprint:
        return segment, ClaimAnswer(ClaimOutcome.MISMATCH)
    if claim.request in entry.withdrawn:
        return segment, withdrawn_answer()
    if entry.state is EntryState.DONE:
        return segment, ClaimAnswer(ClaimOutcome.REPLAY, entry.response)
    if entry.state is EntryState.ABANDONED:
        return grant(current, key, entry, claim, wall_time, "claim")
    if entry.state is EntryState.CLAIMED and entry.request == claim.request:
        return segment, ClaimAnswer(ClaimOutcome.GRANTED)
    return apply_unsettled_claim(current, entry, claim, wall_time)


def apply_unsettled_claim(
    segment: Segment, entry: JournalEntry, claim: ClaimRequest, wall_time: float
) -> ClaimResult:
    """Answer a claim on an unsettled call that another request holds."""
    unknown = entry.state is EntryState.UNKNOWN or entry.is_overdue(wall_time)
    if unknown and claim.rerun_unknown:
        return grant(segment, entry_key(claim), entry, claim, wall_time, "rerun")
    outcome = ClaimOutcome.UNKNOWN if unknown else ClaimOutcome.IN_PROGRESS
    return segment, ClaimAnswer(outcome, holder=entry.request)


def apply_first_claim(
    segment: Segment, current: Segment, claim: ClaimRequest, wall_time: float
) -> ClaimResult:
    """Grant a claim on a call without an entry, if the object has room for it."""
    if current.size > MAX_BYTES_FOR_CLAIMS:
        current = drop_old_responses(current, wall_time)
    if current.size > MAX_BYTES_FOR_CLAIMS:
        detail = "the journal's object for this key is full; use a new key"
        failure = Failure(Step.CLAIM, "", "journal-full", detail, retry_after=60.0)
        return segment, ClaimAnswer(ClaimOutcome.UNAVAILABLE, failure=failure)
    absent = JournalEntry(claim.fingerprint, claim.request, EntryState.ABSENT)
    return grant(current, entry_key(claim), absent, claim, wall_time, "claim")


def grant(
    segment: Segment,
    key: str,
    entry: JournalEntry,
    claim: ClaimRequest,
    wall_time: float,
    trigger: str,
) -> ClaimResult:
    """Grant a claim and return the resulting segment and the answer."""
    granted = attrs.evolve(
        entry,
        request=claim.request,
        state=next_state(entry.state, trigger),
        claimed_at=wall_time,
        in_progress_limit=claim.in_progress_limit,
    )
    return segment.with_entry(key, granted), ClaimAnswer(ClaimOutcome.GRANTED)


def withdrawn_answer() -> ClaimAnswer:
    """Return the answer to a claim by a request that has already given up the call."""
    detail = "the request has given the call up"
    failure = Failure(Step.CLAIM, "", "claim-withdrawn", detail, retry_after=1.0)
    return ClaimAnswer(ClaimOutcome.UNAVAILABLE, failure=failure)
