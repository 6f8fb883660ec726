"""Commits claims and settlements in the platform's store."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    Settlement,
)
from lentilhaven.core.clock import Clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.idempotency.call_key import MAX_KEY_LENGTH, key_time
from lentilhaven.idempotency.journal_layout import JournalLayout, Place
from lentilhaven.idempotency.layout_check import check_layout
from lentilhaven.idempotency.operation import Answer, Operation
from lentilhaven.idempotency.segment_store import SegmentStore
from lentilhaven.idempotency.segment_writer import SegmentWriter, refusal
from lentilhaven.idempotency.write_budget import (
    FLEET_WRITE_RATE,
    SHARD_BURST,
    WriteBudget,
)

#: Seconds by which a key may be ahead of this VM's clock.
MAX_KEY_LEAD = 300.0

#: Seconds for which settlements of timed keys wait for a claim.
SETTLE_DELAY = 0.5

#: Writers kept, with the segments that they hold.
MAX_WRITERS = 512

#: Size of the segments that idle writers may hold, as JSON, in bytes.
MAX_HELD_BYTES = 8_000_000

log = get_logger("idempotency")


@attrs.define
class Journal:
    """
    The journal as one agent commits it.

    Any number of journals may commit to the same objects; the conditional
    update alone keeps them apart.

    Attributes
    ----------
    store : SegmentStore
        The platform's store.
    clock : Clock
        Source of time.
    budget : WriteBudget
        Limits the writes of this agent for keys that carry no time.
    layout : JournalLayout
        How keys map to objects.
    counts : Counter
        Operations, writes and unconfirmed writes so far.
    layout_checked : bool
        Whether the store is known to have the same layout.
    budgets : dict
        `WriteBudget` by shard of timed keys.
    writers : dict
        `SegmentWriter` by object, the one used last at the end.
    tasks : dict
        The running task of each busy writer, by object.
    """

    store: SegmentStore
    clock: Clock
    budget: WriteBudget
    layout: JournalLayout = attrs.field(factory=JournalLayout)
    counts: Counter[str] = attrs.field(factory=Counter)
    layout_checked: bool = False
    budgets: dict[str, WriteBudget] = attrs.field(factory=dict)
    writers: dict[str, SegmentWriter] = attrs.field(factory=dict)
    tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)

    async def submit(self, message: ClaimRequest | Settlement) -> Answer:
        """
        Commit a claim or a settlement.

        Parameters
        ----------
        message : ClaimRequest or Settlement
            What is asked.

        Returns
        -------
        ClaimAnswer or Settled
            Confirmed in the store unless it says otherwise.
        """
        claim = message if isinstance(message, ClaimRequest) else message.claim
        place = self.layout.place(claim)
        operation = Operation(message, place.bucket)
        failure = unfit_key(claim.key, self.clock.wall())
        if failure is not None:
            return refusal(operation, failure)
        if not self.layout_checked:
            failure = await check_layout(self.store, self.layout)
            if failure is not None:
                return refusal(operation, failure)
            self.layout_checked = True
        writer = self.writer(place)
        answer = writer.add(operation)
        if place.name not in self.tasks:
            task = asyncio.create_task(self.drive(writer))
            self.tasks[place.name] = task
        return await answer

    def writer(self, place: Place) -> SegmentWriter:
        """
        Return the writer of an object, and forget writers long unused.

        Parameters
        ----------
        place : Place
            The object.
        """
        name = place.name
        writer = self.writers.pop(name, None)
        if writer is None:
            budget = self.budget_of(place)
            writer = SegmentWriter(self.store, name, budget, self.clock)
            writer.counts = self.counts
            writer.settle_delay = SETTLE_DELAY if place.timed else 0.0
            self.forget_idle()
        self.writers[name] = writer
        return writer

    def budget_of(self, place: Place) -> WriteBudget:
        """
        Return what limits the writes of an object.

        Parameters
        ----------
        place : Place
            The object.
        """
        if not place.timed:
            return self.budget
        if place.shard not in self.budgets:
            rate = FLEET_WRITE_RATE / self.layout.shard_count
            budget = WriteBudget(self.clock, rate, SHARD_BURST)
            self.budgets[place.shard] = budget
        return self.budgets[place.shard]

    def forget_idle(self) -> None:
        """Drop the writers that were used least recently and are not busy."""
        held = sum(writer.held_bytes for writer in self.writers.values())
        for name, writer in list(self.writers.items()):
            if len(self.writers) <= MAX_WRITERS and held <= MAX_HELD_BYTES:
                return
            if name not in self.tasks:
                held -= writer.held_bytes
                del self.writers[name]

    async def drive(self, writer: SegmentWriter) -> None:
        """Run a writer and answer what it leaves behind if it fails."""
        failure = Failure(Step.CLAIM, "", "journal-stopped", "the agent is stopping")
        try:
            await writer.run()
        except Exception as error:
            # The base may be part of the fault.
            writer.base = None
            log.error("journal writer failed", name=writer.name, error=repr(error))
            failure = Failure(Step.CLAIM, "", "journal-failed", repr(error))
        finally:
            del self.tasks[writer.name]
            writer.give_up(list(writer.waiting), failure)

    async def close(self) -> None:
        """Cancel what is being committed; whoever waits is told so."""
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def unfit_key(key: str, wall: float) -> Failure | None:
    """
    Return why a key can't be accepted, or None.

    Parameters
    ----------
    key : str
        The idempotency key.
    wall : float
        Time of day, in seconds since 1970.

    Examples
    --------
    >>> unfit_key("issue-4711", 0.0) is None
    True
    >>> unfit_key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0.0).kind
    'bad-key'
    """
    made = key_time(key)
    if len(key) > MAX_KEY_LENGTH:
        detail = f"an idempotency key has at most {MAX_KEY_LENGTH} characters"
    elif made is not None and made > wall + MAX_KEY_LEAD:
        detail = "the idempotency key was made in the future"
    else:
        return None
    return Failure(Step.CLAIM, "", "bad-key", detail)


def is_confirmed(answer: Answer) -> bool:
    """
    Return whether an answer came from the store.

    Parameters
    ----------
    answer : ClaimAnswer or Settled
        The answer.
    """
    if isinstance(answer, ClaimAnswer):
        return answer.outcome is not ClaimOutcome.UNAVAILABLE
    return answer.confirmed


@asynccontextmanager
async def open_journal(
    store: SegmentStore, clock: Clock, budget: WriteBudget
) -> AsyncIterator[Journal]:
    """
    Run a journal until the context ends.

    Parameters
    ----------
    store : SegmentStore
        The platform's store.
    clock : Clock
        Source of time.
    budget : WriteBudget
        Limits the writes.
    """
    journal = Journal(store, clock, budget)
    try:
        yield journal
    finally:
        await journal.close()
