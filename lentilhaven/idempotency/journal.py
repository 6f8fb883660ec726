"""A journal with one object a shard and one conditional update a claim."""

from typing import Any

import attrs
import xxhash

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    RecordedResponse,
    Settlement,
    SettleOutcome,
)
from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import CONVERTER, to_document
from lentilhaven.core.step import Step
from lentilhaven.platform.object_client import ObjectClient
from lentilhaven.platform.write_outcome import Ambiguous, Refused, Written

#: Number of shards of the journal.
SHARD_COUNT = 16

#: Tries of one claim against other writers and lost answers.
CLAIM_ATTEMPTS = 8


@attrs.frozen
class JournalEntry:
    """
    What the journal holds of one call.

    Attributes
    ----------
    fingerprint : str
        Hash of method, path and body.
    request : str
        The request that was granted the dispatch.
    state : str
        ``"claimed"`` or the value of a `SettleOutcome`.
    response : RecordedResponse or None
        Set when the call is done.
    """

    fingerprint: str
    request: str
    state: str
    response: RecordedResponse | None = None


@attrs.define
class Journal:
    """
    Claims and settles calls in the platform's store.

    Attributes
    ----------
    client : ObjectClient
        The platform's store.
    """

    client: ObjectClient

    async def claim(self, request: ClaimRequest) -> ClaimAnswer:
        """
        Claim the dispatch of a call.

        Parameters
        ----------
        request : ClaimRequest
            The call.
        """
        name, key = shard_name(request), entry_key(request)
        for _ in range(CLAIM_ATTEMPTS):
            found = await self.client.read(name)
            if found.is_error():
                return unavailable(found.error)
            version = found.ok.version if found.ok else 0
            entries: dict[str, Any] = dict(found.ok.value) if found.ok else {}
            if key in entries:
                entry = CONVERTER.structure(entries[key], JournalEntry)
                if entry.state != SettleOutcome.ABANDONED.value:
                    return answer_of(entry, request)
            claimed = JournalEntry(request.fingerprint, request.request, "claimed")
            entries[key] = to_document(claimed)
            outcome = await self.client.write(name, entries, version)
            if isinstance(outcome, Written):
                return ClaimAnswer(ClaimOutcome.GRANTED)
            if isinstance(outcome, Refused):
                return unavailable(outcome.failure)
            if isinstance(outcome, Ambiguous):
                continue
        failure = Failure(Step.CLAIM, "object-api", "contended", "too many writers")
        return unavailable(failure)

    async def settle(self, settlement: Settlement) -> bool:
        """
        Record how a granted call ended.

        Parameters
        ----------
        settlement : Settlement
            The call and its end.

        Returns
        -------
        bool
            Whether the record is confirmed.
        """
        claim = settlement.claim
        name, key = shard_name(claim), entry_key(claim)
        for _ in range(CLAIM_ATTEMPTS):
            found = await self.client.read(name)
            if found.is_error() or found.ok is None:
                continue
            entries = dict(found.ok.value)
            entry = CONVERTER.structure(entries[key], JournalEntry)
            if entry.state != "claimed" or entry.request != claim.request:
                return entry.state == settlement.outcome.value
            settled = attrs.evolve(
                entry, state=settlement.outcome.value, response=settlement.response
            )
            entries[key] = to_document(settled)
            outcome = await self.client.write(name, entries, found.ok.version)
            if isinstance(outcome, Written):
                return True
        return False


def entry_key(request: ClaimRequest) -> str:
    """Return the text that identifies a call within its shard."""
    return f"{request.workspace}\n{request.route}\n{request.key}"


def shard_name(request: ClaimRequest) -> str:
    """Return the name of the object that holds a call."""
    shard = xxhash.xxh3_64_intdigest(entry_key(request).encode()) % SHARD_COUNT
    return f"journal/{shard}"


def answer_of(entry: JournalEntry, request: ClaimRequest) -> ClaimAnswer:
    """
    Return the answer to a claim on a call that is already in the journal.

    Parameters
    ----------
    entry : JournalEntry
        What the journal holds.
    request : ClaimRequest
        The new claim.
    """
    if entry.fingerprint != request.fingerprint:
        return ClaimAnswer(ClaimOutcome.MISMATCH)
    if entry.state == "claimed":
        mine = entry.request == request.request
        return ClaimAnswer(ClaimOutcome.GRANTED if mine else ClaimOutcome.IN_PROGRESS)
    if entry.state == SettleOutcome.DONE.value:
        return ClaimAnswer(ClaimOutcome.REPLAY, entry.response)
    return ClaimAnswer(ClaimOutcome.UNKNOWN)


def unavailable(failure: Failure) -> ClaimAnswer:
    """Return the answer that grants nothing because the store is away."""
    return ClaimAnswer(ClaimOutcome.UNAVAILABLE, failure=failure)
