"""Forwards claims and settlements to the VM that owns their shard."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from expression import Result

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    Settlement,
)
from lentilhaven.core.clock import Clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import VmId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.idempotency.journal import Journal, is_confirmed
from lentilhaven.idempotency.journal_peers import CONNECT_TIMEOUT, FORWARD_TIMEOUT
from lentilhaven.idempotency.operation import Answer
from lentilhaven.idempotency.segment_writer import unconfirmed_answer
from lentilhaven.membership import rank_members

#: Seconds for which a VM that did not answer is skipped.
SUSPICION_TIME = 5.0

#: Seconds of late claims only after which a VM is skipped, if another VM confirms.
LATE_LIMIT = 3.0

#: Kind of the failure of a claim that was not committed in time.
LATE = "commit-late"

#: Maximum number of other VMs to try before this VM commits the message itself.
MAX_FORWARDS = 2

#: Seconds after which a commit on this VM is answered without a confirmation.  The
#: answer reaches a forwarding VM before its timeout, so that it does not take a slow
#: store for a lost owner and commit the message beside the owner.
COMMIT_TIMEOUT = FORWARD_TIMEOUT - CONNECT_TIMEOUT

Message = ClaimRequest | Settlement

#: Asks another VM to commit a message; fails if that VM does not answer.
Forward = Callable[[VmId, Message], Awaitable[Result[Answer, Failure]]]

log = get_logger("idempotency")


@attrs.define
class JournalNode:
    """
    Forwards the claims and settlements of one VM, or commits them itself.

    If the owner of a message's shard does not answer, the message is forwarded to
    the next VM in rank order, and finally committed here.  A VM that did not answer
    may still commit the message, now or later.  This is harmless: both commits name
    the same request as the holder of the call, and the router that made a request
    dispatches it at most once.

    A message that is late at its owner is not forwarded again.  A VM at which claims
    are late, while another VM confirms messages, is skipped like one that does not
    answer.

    Attributes
    ----------
    vm : str
        This VM.
    journal : Journal
        Commits messages on this VM.
    forward : callable
        Asks another VM to commit a message.
    live_vms : callable
        Returns the VMs believed to be live.
    clock : Clock
        Source of time.
    suspected_until : dict
        Monotonic time until which a VM is skipped, in seconds, by VM; entries
        are kept after that time.
    late_since : dict
        Monotonic time of the first late claim since the last confirmed message, in
        seconds, by VM.
    confirmed_at : dict
        Monotonic time of the last confirmed message, in seconds, by VM.
    """

    vm: VmId
    journal: Journal
    forward: Forward
    live_vms: Callable[[], list[VmId]]
    clock: Clock
    suspected_until: dict[VmId, float] = attrs.field(factory=dict)
    late_since: dict[VmId, float] = attrs.field(factory=dict)
    confirmed_at: dict[VmId, float] = attrs.field(factory=dict)

    async def submit(self, message: Message) -> Answer:
        """
        Commit a claim or a settlement on the VM that owns its shard.

        Parameters
        ----------
        message : ClaimRequest or Settlement
            The claim or settlement.

        Returns
        -------
        ClaimAnswer or SettlementAnswer
            The answer of the VM that committed the message or tried to; see
            `commit`.
        """
        claim = message if isinstance(message, ClaimRequest) else message.claim
        shard = self.journal.layout.locate(claim).shard
        may_stand = False
        for vm in self.candidates(shard):
            if vm == self.vm:
                break
            outcome = await self.forward(vm, message)
            if outcome.is_ok():
                self.record_answer(vm, outcome.ok)
                return mark_may_stand(outcome.ok, may_stand)
            may_stand = may_stand or outcome.error.ran is not Ran.NO
            log.warning("owner of a shard did not answer", vm=vm, shard=shard)
            self.suspected_until[vm] = self.clock.monotonic() + SUSPICION_TIME
        answer = await self.commit(message)
        self.record_answer(self.vm, answer)
        return mark_may_stand(answer, may_stand)

    def record_answer(self, vm: VmId, answer: Answer) -> None:
        """Record whether a VM confirms messages, and suspect it if only it is late."""
        now = self.clock.monotonic()
        if is_confirmed(answer):
            self.confirmed_at[vm] = now
            self.late_since.pop(vm, None)
        elif is_late(answer):
            since = self.late_since.setdefault(vm, now)
            # If no VM confirms, the store is slow for all, and another owner would be
            # late too.
            others = (at for it, at in self.confirmed_at.items() if it != vm)
            others_confirm = any(now - at <= FORWARD_TIMEOUT for at in others)
            if others_confirm and now - since >= LATE_LIMIT:
                log.warning("commits are late at one VM only", vm=vm)
                self.suspected_until[vm] = now + SUSPICION_TIME

    async def commit(self, message: Message) -> Answer:
        """
        Commit a claim or a settlement on this VM, within `COMMIT_TIMEOUT`.

        Parameters
        ----------
        message : ClaimRequest or Settlement
            The claim or settlement.

        Returns
        -------
        ClaimAnswer or SettlementAnswer
            The answer of `Journal.submit`, or one that grants and confirms nothing
            if the store takes too long.
        """
        try:
            async with asyncio.timeout(COMMIT_TIMEOUT):
                return await self.journal.submit(message)
        except TimeoutError:
            return self.answer_late(message)

    def answer_late(self, message: Message) -> Answer:
        """Return the answer to a message that was not committed in time."""
        self.journal.counts["late-operations"] += 1
        log.info("journal operation was not committed in time")
        detail = f"not committed within {COMMIT_TIMEOUT:g} s"
        failure = Failure(Step.CLAIM, "", LATE, detail, retry_after=1.0)
        return unconfirmed_answer(message, failure, may_stand=True)

    def describe(self) -> dict[str, Any]:
        """Return the state shown to operators; it contains no idempotency keys."""
        journal = self.journal
        return {
            "counts": dict(journal.counts),
            "busy_objects": len(journal.tasks),
            "held_objects": len(journal.writers),
            "waiting": sum(len(writer.pending) for writer in journal.writers.values()),
            "passed_over": sorted(self.suspected_until),
        }

    def candidates(self, shard: str) -> list[VmId]:
        """
        Return the VMs to try, in rank order.

        Parameters
        ----------
        shard : str
            Name of the shard.
        """
        now = self.clock.monotonic()
        ranked = rank_members(f"journal/{shard}", {*self.live_vms(), self.vm})
        unsuspected = [vm for vm in ranked if self.suspected_until.get(vm, 0.0) <= now]
        return unsuspected[:MAX_FORWARDS]


def is_late(answer: Answer) -> bool:
    """Return whether an answer says that a claim was not committed in time."""
    if not isinstance(answer, ClaimAnswer) or answer.failure is None:
        return False
    return answer.failure.kind == LATE


def mark_may_stand(answer: Answer, may_stand: bool) -> Answer:
    """
    Mark the answer to a claim that was not granted but may still be committed.

    Parameters
    ----------
    answer : ClaimAnswer or SettlementAnswer
        The answer of the VM that did answer.
    may_stand : bool
        Whether a VM that did not answer may have received the claim.
    """
    if not may_stand or not isinstance(answer, ClaimAnswer):
        return answer
    if answer.outcome is ClaimOutcome.GRANTED:
        return answer
    return attrs.evolve(answer, may_stand=True)
