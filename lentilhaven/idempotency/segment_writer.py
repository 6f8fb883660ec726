"""Commits the operations on one journal object."""

import asyncio
from collections import Counter

import attrs

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    Settlement,
)
from lentilhaven.core.clock import Clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.invariants import InvariantError
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.idempotency.batch import (
    Base,
    Plan,
    conclude,
    decode_base,
    plan_batch,
)
from lentilhaven.idempotency.operation import Answer, Operation, SettlementAnswer
from lentilhaven.idempotency.segment import encode_segment
from lentilhaven.idempotency.segment_store import SegmentStore
from lentilhaven.idempotency.write_budget import WriteBudget

#: Maximum number of writes of one operation; conflicts with other writers and
#: lost responses cause more than one.
MAX_TRIES = 8

#: Maximum number of operations that one write commits.
MAX_BATCH = 256

log = get_logger("idempotency")


@attrs.define(eq=False)
class PendingOperation:
    """
    An operation that waits for its answer.

    Attributes
    ----------
    operation : Operation
        The operation.
    answer : asyncio.Future
        Receives the answer.
    arrival_number : int
        Position among all operations that the writer has received, from 1.
    tries : int
        Number of writes that included the operation.
    """

    operation: Operation
    answer: "asyncio.Future[Answer]"
    arrival_number: int
    tries: int = 0


@attrs.define(eq=False)
class SegmentWriter:
    """
    Collects operations while a write is in flight and commits them in one write.

    The content of the object is a `Segment`.  The *base* is the version of the
    object on which the next write is planned.

    Attributes
    ----------
    store : SegmentStore
        The platform's store.
    name : str
        Name of the object.
    budget : WriteBudget
        Limits the writes.
    clock : Clock
        Source of time.
    base : Base or None
        The newest confirmed version that the writer knows.
    arrival_count : int
        Number of operations received so far.
    base_arrival_count : int
        Value of `arrival_count` at the start of the last read or write of the
        object.  An answer that needs a fresh base is given only to operations up
        to this number.
    settle_delay : float
        Seconds for which settlements wait for a claim, so that one write commits
        both.
    claim_arrived : asyncio.Event
        Set when a claim arrives.
    counts : Counter
        Numbers of operations, writes and unconfirmed writes so far.
    pending : list of PendingOperation
        Operations without an answer, oldest first.
    """

    store: SegmentStore
    name: str
    budget: WriteBudget
    clock: Clock
    base: Base | None = None
    arrival_count: int = 0
    base_arrival_count: int = 0
    settle_delay: float = 0.0
    claim_arrived: asyncio.Event = attrs.field(factory=asyncio.Event)
    counts: Counter[str] = attrs.field(factory=Counter)
    pending: list[PendingOperation] = attrs.field(factory=list)

    @property
    def cached_bytes(self) -> int:
        """Return the JSON size of the cached segment, in bytes."""
        return self.base.segment.size if self.base is not None else 0

    def add(self, operation: Operation) -> "asyncio.Future[Answer]":
        """
        Queue an operation and return the future of its answer.

        Parameters
        ----------
        operation : Operation
            The operation.
        """
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.arrival_count += 1
        self.counts["operations"] += 1
        if isinstance(operation.message, ClaimRequest):
            self.claim_arrived.set()
        self.pending.append(PendingOperation(operation, future, self.arrival_count))
        return future

    async def run(self) -> None:
        """Commit operations until none is pending."""
        while self.drop_unawaited():
            if self.base is None and not await self.read_base():
                continue
            batch, plan = self.plan()
            if plan.changed:
                await self.commit()
            elif (
                plan.needs_fresh_base
                and self.base_arrival_count < batch[-1].arrival_number
            ):
                # The base may be older than the operations: read the object again.
                self.base = None
            else:
                self.finish(batch, plan)

    def drop_unawaited(self) -> bool:
        """
        Drop the operations whose answers nobody awaits; return whether any are left.

        The sender has withdrawn its claim or repeats its settlement, so an operation
        kept for it would only add to the load that made it late.
        """
        self.pending = [item for item in self.pending if not item.answer.done()]
        return bool(self.pending)

    async def read_base(self) -> bool:
        """
        Read the base, and return whether that succeeded.

        If it fails, all pending operations are given up.
        """
        # Taken before the read: an operation that arrives during the read may depend
        # on a newer version than the one read.
        arrival_count = self.arrival_count
        found = await self.store.read(self.name)
        if found.is_error():
            self.give_up(list(self.pending), found.error)
            return False
        self.base = decode_base(found.ok)
        self.base_arrival_count = arrival_count
        return True

    def plan(self) -> tuple[list[PendingOperation], Plan]:
        """
        Plan the pending operations on the base.

        If the batch violates an invariant, the oldest operation is planned alone,
        and refused if it violates the invariant itself.  A violation is an error
        of the operation's sender, so the other operations proceed.
        """
        assert self.base is not None
        for count in (MAX_BATCH, 1):
            batch = self.pending[:count]
            operations = [item.operation for item in batch]
            try:
                return batch, plan_batch(self.base, operations, self.clock.wall())
            except InvariantError as error:
                log.error("journal refused an operation", error=str(error))
                failure = Failure(Step.SETTLE, "", "broken-invariant", str(error))
        self.give_up(batch, failure)
        return [], Plan(self.base.segment, [], False)

    async def commit(self) -> None:
        """Write one batch; operations that arrive during the waits join it."""
        await self.wait_for_claim()
        await self.budget.take()
        self.drop_unawaited()
        base, arrival_count = self.base, self.arrival_count
        batch, plan = self.plan()
        if base is None or not plan.changed:
            return
        self.counts["writes"] += 1
        value = encode_segment(plan.segment)
        for item in batch:
            item.tries += 1
        outcome = await self.store.write(self.name, value, base.version)
        conclusion = conclude(base, plan, outcome)
        self.base, self.base_arrival_count = conclusion.base, arrival_count
        if conclusion.confirmed:
            self.finish(batch, plan)
        elif conclusion.failure is not None:
            self.give_up(batch, conclusion.failure)
        else:
            self.counts["unconfirmed-writes"] += 1
            log.info("journal write was not confirmed; reading back", name=self.name)
            self.give_up_exhausted(batch)

    async def wait_for_claim(self) -> None:
        """
        Delay settlements until a claim arrives or `settle_delay` has passed.

        Only claims have waiting callers, so they are never delayed.
        """
        messages = (item.operation.message for item in self.pending)
        claims = any(isinstance(message, ClaimRequest) for message in messages)
        if claims or self.settle_delay == 0:
            return
        self.claim_arrived.clear()
        try:
            async with asyncio.timeout(self.settle_delay):
                await self.claim_arrived.wait()
        except TimeoutError:
            return

    def give_up_exhausted(self, batch: list[PendingOperation]) -> None:
        """Give up operations that have reached the maximum number of tries."""
        exhausted = [item for item in batch if item.tries >= MAX_TRIES]
        failure = Failure(Step.CLAIM, "object-api", "contended", "too many writers")
        self.give_up(exhausted, failure)

    def finish(self, batch: list[PendingOperation], plan: Plan) -> None:
        """Deliver the answers of a confirmed plan."""
        for item, answer in zip(batch, plan.answers, strict=True):
            self.resolve(item, answer)

    def give_up(self, batch: list[PendingOperation], failure: Failure) -> None:
        """Answer operations with a failure that grants and confirms nothing."""
        for item in batch:
            self.resolve(
                item,
                unconfirmed_answer(
                    item.operation.message, failure, may_stand=item.tries > 0
                ),
            )

    def resolve(self, item: PendingOperation, answer: Answer) -> None:
        """Deliver the answer to one operation and remove it from the queue."""
        self.pending.remove(item)
        if not item.answer.done():
            item.answer.set_result(answer)


def unconfirmed_answer(
    message: ClaimRequest | Settlement, failure: Failure, *, may_stand: bool = False
) -> Answer:
    """
    Return the answer to a message that the store did not confirm.

    Parameters
    ----------
    message : ClaimRequest or Settlement
        The claim or settlement.
    failure : Failure
        The reason.
    may_stand : bool
        Whether a write that includes the message may have taken effect.
    """
    if isinstance(message, ClaimRequest):
        outcome = ClaimOutcome.UNAVAILABLE
        return ClaimAnswer(outcome, failure=failure, may_stand=may_stand)
    return SettlementAnswer(False)
