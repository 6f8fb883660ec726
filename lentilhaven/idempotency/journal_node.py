"""Sends claims and settlements to the VM that commits their shard."""

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
from lentilhaven.idempotency.journal import Journal
from lentilhaven.idempotency.operation import Answer
from lentilhaven.membership import rank_members

#: Seconds for which a VM that did not answer is passed over.
SUSPICION = 5.0

#: Other VMs tried before this one commits by itself.
MAX_FORWARDS = 2

Message = ClaimRequest | Settlement

#: Asks another VM to commit; fails if that VM does not answer.
Forward = Callable[[VmId, Message], Awaitable[Result[Answer, Failure]]]

log = get_logger("idempotency")


@attrs.define
class JournalNode:
    """
    One VM's part in the journal.

    A message whose owner does not answer goes to the next VM in order, and at
    last is committed here.  The first VM may still commit it, now or later:
    that is harmless, since the same request then holds the call twice over, and
    a request is dispatched at most once by the router that made it.

    Attributes
    ----------
    vm : str
        This VM.
    journal : Journal
        Commits here.
    forward : callable
        Asks another VM to commit.
    live_vms : callable
        Returns the VMs believed to be live.
    clock : Clock
        Source of time.
    suspected : dict
        Monotonic time until which a VM is passed over, by VM, in seconds.
    """

    vm: VmId
    journal: Journal
    forward: Forward
    live_vms: Callable[[], list[VmId]]
    clock: Clock
    suspected: dict[VmId, float] = attrs.field(factory=dict)

    async def submit(self, message: Message) -> Answer:
        """
        Commit a claim or a settlement, wherever its shard is committed.

        Parameters
        ----------
        message : ClaimRequest or Settlement
            What is asked.
        """
        claim = message if isinstance(message, ClaimRequest) else message.claim
        shard = self.journal.layout.place(claim).shard
        may_stand = False
        for vm in self.candidates(shard):
            if vm == self.vm:
                break
            outcome = await self.forward(vm, message)
            if outcome.is_ok():
                return mark_standing(outcome.ok, may_stand)
            may_stand = may_stand or outcome.error.ran is not Ran.NO
            log.warning("owner of a shard did not answer", vm=vm, shard=shard)
            self.suspected[vm] = self.clock.monotonic() + SUSPICION
        return mark_standing(await self.journal.submit(message), may_stand)

    def describe(self) -> dict[str, Any]:
        """Return the state that operators may want to see; no keys."""
        journal = self.journal
        return {
            "counts": dict(journal.counts),
            "busy_objects": len(journal.tasks),
            "held_objects": len(journal.writers),
            "waiting": sum(len(it.waiting) for it in journal.writers.values()),
            "passed_over": sorted(self.suspected),
        }

    def candidates(self, shard: str) -> list[VmId]:
        """
        Return the VMs to ask, in order.

        Parameters
        ----------
        shard : str
            The shard.
        """
        now = self.clock.monotonic()
        ordered = rank_members(f"journal/{shard}", {*self.live_vms(), self.vm})
        unsuspected = [vm for vm in ordered if self.suspected.get(vm, 0.0) <= now]
        return unsuspected[:MAX_FORWARDS]


def mark_standing(answer: Answer, may_stand: bool) -> Answer:
    """
    Note that another VM may still commit a claim that was not granted.

    Parameters
    ----------
    answer : ClaimAnswer or Settled
        The answer of the VM that did answer.
    may_stand : bool
        Whether a VM that did not answer may have the claim.
    """
    if not may_stand or not isinstance(answer, ClaimAnswer):
        return answer
    if answer.outcome is ClaimOutcome.GRANTED:
        return answer
    return attrs.evolve(answer, may_stand=True)
