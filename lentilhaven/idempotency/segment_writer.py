"""Commits the operations on one object of the journal."""

import asyncio
from collections import Counter

import attrs

from lentilhaven.control.claim import ClaimAnswer, ClaimOutcome, ClaimRequest
from lentilhaven.core.clock import Clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.invariants import InvariantError
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.idempotency.batch import (
    Base,
    Plan,
    base_of,
    conclude,
    plan_batch,
)
from lentilhaven.idempotency.operation import Answer, Operation, Settled
from lentilhaven.idempotency.segment import encode_segment
from lentilhaven.idempotency.segment_store import SegmentStore
from lentilhaven.idempotency.write_budget import WriteBudget

#: Tries of one operation against other writers and lost answers.
MAX_TRIES = 8

#: Operations committed by one write.
MAX_BATCH = 256

log = get_logger("idempotency")


@attrs.define(eq=False)
class Waiting:
    """
    An operation that waits for its answer.

    Attributes
    ----------
    operation : Operation
        What is asked.
    answer : asyncio.Future
        Receives the answer.
    arrival : int
        Its number among the operations of the writer.
    tries : int
        Writes that it was part of.
    """

    operation: Operation
    answer: "asyncio.Future[Answer]"
    arrival: int
    tries: int = 0


@attrs.define(eq=False)
class SegmentWriter:
    """
    Collects operations while a write is in flight and commits them together.

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
        The newest confirmed version that is known.
    arrivals : int
        Number of operations that have come.
    base_arrivals : int
        Number that had come when the base was certainly the newest.
    settle_delay : float
        Seconds for which settlements wait for a claim to be written with.
    claimed : asyncio.Event
        Set when a claim comes.
    counts : Counter
        Operations, writes and unconfirmed writes so far.
    waiting : list of Waiting
        Operations without an answer, oldest first.
    """

    store: SegmentStore
    name: str
    budget: WriteBudget
    clock: Clock
    base: Base | None = None
    arrivals: int = 0
    base_arrivals: int = 0
    settle_delay: float = 0.0
    claimed: asyncio.Event = attrs.field(factory=asyncio.Event)
    counts: Counter[str] = attrs.field(factory=Counter)
    waiting: list[Waiting] = attrs.field(factory=list)

    @property
    def held_bytes(self) -> int:
        """Return the size of the segment that is held, as JSON."""
        return self.base.segment.size if self.base is not None else 0

    def add(self, operation: Operation) -> "asyncio.Future[Answer]":
        """
        Queue an operation and return the future of its answer.

        Parameters
        ----------
        operation : Operation
            What is asked.
        """
        future: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        self.arrivals += 1
        self.counts["operations"] += 1
        if isinstance(operation.message, ClaimRequest):
            self.claimed.set()
        self.waiting.append(Waiting(operation, future, self.arrivals))
        return future

    async def run(self) -> None:
        """Commit operations until none waits."""
        while self.waiting:
            if self.base is None and not await self.read_base():
                continue
            batch, plan = self.plan()
            if plan.changed:
                await self.commit()
            elif plan.needs_fresh_base and self.base_arrivals < batch[-1].arrival:
                self.base = None
            else:
                self.finish(batch, plan)

    async def read_base(self) -> bool:
        """Read the object; give up what waits if the store does not answer."""
        arrivals = self.arrivals
        found = await self.store.read(self.name)
        if found.is_error():
            self.give_up(list(self.waiting), found.error)
            return False
        self.base = base_of(found.ok)
        self.base_arrivals = arrivals
        return True

    def plan(self) -> tuple[list[Waiting], Plan]:
        """
        Plan what waits on the base.

        An operation that breaks an invariant is a defect of its sender; it is
        refused, and the others go on.
        """
        assert self.base is not None
        for count in (MAX_BATCH, 1):
            batch = self.waiting[:count]
            operations = [it.operation for it in batch]
            try:
                return batch, plan_batch(self.base, operations, self.clock.wall())
            except InvariantError as error:
                log.error("journal refused an operation", error=str(error))
                failure = Failure(Step.SETTLE, "", "broken-invariant", str(error))
        self.give_up(batch, failure)
        return [], Plan(self.base.segment, [], False)

    async def commit(self) -> None:
        """Write one batch, of all that came while the budget was waited for."""
        await self.wait_for_claim()
        await self.budget.take()
        base, arrivals = self.base, self.arrivals
        batch, plan = self.plan()
        if base is None or not plan.changed:
            return
        self.counts["writes"] += 1
        value = encode_segment(plan.segment)
        for it in batch:
            it.tries += 1
        outcome = await self.store.write(self.name, value, base.version)
        conclusion = conclude(base, plan, outcome)
        self.base, self.base_arrivals = conclusion.base, arrivals
        if conclusion.confirmed:
            self.finish(batch, plan)
        elif conclusion.failure is not None:
            self.give_up(batch, conclusion.failure)
        else:
            self.counts["unconfirmed-writes"] += 1
            log.info("journal write was not confirmed; reading back", name=self.name)
            self.drop_spent(batch)

    async def wait_for_claim(self) -> None:
        """Let settlements wait for a claim, whose caller can't wait."""
        messages = (it.operation.message for it in self.waiting)
        claims = any(isinstance(message, ClaimRequest) for message in messages)
        if claims or self.settle_delay == 0:
            return
        self.claimed.clear()
        try:
            async with asyncio.timeout(self.settle_delay):
                await self.claimed.wait()
        except TimeoutError:
            return

    def drop_spent(self, batch: list[Waiting]) -> None:
        """Give up operations that were tried too often."""
        spent = [it for it in batch if it.tries >= MAX_TRIES]
        failure = Failure(Step.CLAIM, "object-api", "contended", "too many writers")
        self.give_up(spent, failure)

    def finish(self, batch: list[Waiting], plan: Plan) -> None:
        """Give a confirmed plan's answers."""
        for it, answer in zip(batch, plan.answers, strict=True):
            self.answer(it, answer)

    def give_up(self, batch: list[Waiting], failure: Failure) -> None:
        """Answer operations that nothing was granted and nothing is confirmed."""
        for it in batch:
            self.answer(it, refusal(it.operation, failure, may_stand=it.tries > 0))

    def answer(self, it: Waiting, answer: Answer) -> None:
        """Answer one operation."""
        self.waiting.remove(it)
        if not it.answer.done():
            it.answer.set_result(answer)


def refusal(
    operation: Operation, failure: Failure, *, may_stand: bool = False
) -> Answer:
    """
    Return the answer to an operation that the store did not confirm.

    Parameters
    ----------
    operation : Operation
        What was asked.
    failure : Failure
        Why.
    may_stand : bool
        Whether a write that contains the operation may have taken effect.
    """
    if isinstance(operation.message, ClaimRequest):
        outcome = ClaimOutcome.UNAVAILABLE
        return ClaimAnswer(outcome, failure=failure, may_stand=may_stand)
    return Settled(False)
