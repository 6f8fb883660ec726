"""Commits claims and settlements to the platform's store."""

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
from lentilhaven.idempotency.journal_layout import EntryLocation, JournalLayout
from lentilhaven.idempotency.layout_check import check_layout
from lentilhaven.idempotency.operation import Answer, Operation
from lentilhaven.idempotency.segment_store import SegmentStore
from lentilhaven.idempotency.segment_writer import SegmentWriter, unconfirmed_answer
from lentilhaven.idempotency.write_budget import (
    FLEET_WRITE_RATE,
    SHARD_BURST,
    WriteBudget,
)

#: Seconds by which the time in a key may be ahead of this VM's clock.
MAX_KEY_CLOCK_SKEW = 300.0

#: Seconds for which settlements of timed keys wait to be written with a claim.
SETTLE_DELAY = 0.5

#: Number of writers that are kept, with the segments that they cache.
MAX_WRITERS = 512

#: Total JSON size of the segments that writers may cache, in bytes; only idle
#: writers are evicted.
MAX_CACHED_BYTES = 8_000_000

log = get_logger("idempotency")


@attrs.define
class Journal:
    """
    One agent's access to the journal.

    Any number of `Journal` objects may commit to the same stored objects; only
    the conditional update resolves conflicts between them.

    Attributes
    ----------
    store : SegmentStore
        The platform's store.
    clock : Clock
        Source of time.
    budget : WriteBudget
        Limits the writes of this agent for keys that contain no time.
    layout : JournalLayout
        Mapping of keys to objects.
    counts : Counter
        Numbers of operations, late operations, writes and unconfirmed writes so
        far.
    layout_checked : bool
        Whether the layout in the store is known to be equal to `layout`.
    shard_budgets : dict
        `WriteBudget` by shard of timed keys.
    writers : dict
        `SegmentWriter` by object name, the most recently used one last.
    tasks : dict
        The running task of each busy writer, by object name.
    """

    store: SegmentStore
    clock: Clock
    budget: WriteBudget
    layout: JournalLayout = attrs.field(factory=JournalLayout)
    counts: Counter[str] = attrs.field(factory=Counter)
    layout_checked: bool = False
    shard_budgets: dict[str, WriteBudget] = attrs.field(factory=dict)
    writers: dict[str, SegmentWriter] = attrs.field(factory=dict)
    tasks: dict[str, asyncio.Task] = attrs.field(factory=dict)

    async def submit(self, message: ClaimRequest | Settlement) -> Answer:
        """
        Commit a claim or a settlement.

        Parameters
        ----------
        message : ClaimRequest or Settlement
            The claim or settlement.

        Returns
        -------
        ClaimAnswer or SettlementAnswer
            The answer.  It is confirmed by the store, except for a claim that is
            ``UNAVAILABLE`` and a settlement that is not `confirmed`.  If the wait
            for it is cancelled, the operation is dropped before its next write.
        """
        claim = message if isinstance(message, ClaimRequest) else message.claim
        location = self.layout.locate(claim)
        operation = Operation(message, location.bucket)
        failure = check_key(claim.key, self.clock.wall())
        if failure is not None:
            return unconfirmed_answer(message, failure)
        if not self.layout_checked:
            failure = await check_layout(self.store, self.layout)
            if failure is not None:
                return unconfirmed_answer(message, failure)
            self.layout_checked = True
        writer = self.writer_for(location)
        answer = writer.add(operation)
        if location.name not in self.tasks:
            task = asyncio.create_task(self.run_writer(writer))
            self.tasks[location.name] = task
        return await answer

    def writer_for(self, location: EntryLocation) -> SegmentWriter:
        """
        Return the writer of an object, and evict idle writers if it is new.

        Parameters
        ----------
        location : EntryLocation
            Location of an entry in the object.
        """
        name = location.name
        writer = self.writers.pop(name, None)
        if writer is None:
            budget = self.budget_for(location)
            writer = SegmentWriter(self.store, name, budget, self.clock)
            writer.counts = self.counts
            writer.settle_delay = SETTLE_DELAY if location.timed else 0.0
            self.evict_idle_writers()
        self.writers[name] = writer
        return writer

    def budget_for(self, location: EntryLocation) -> WriteBudget:
        """
        Return the budget that limits the writes of an object.

        Parameters
        ----------
        location : EntryLocation
            Location of an entry in the object.
        """
        if not location.timed:
            return self.budget
        if location.shard not in self.shard_budgets:
            rate = FLEET_WRITE_RATE / self.layout.shard_count
            budget = WriteBudget(self.clock, rate, SHARD_BURST)
            self.shard_budgets[location.shard] = budget
        return self.shard_budgets[location.shard]

    def evict_idle_writers(self) -> None:
        """Evict the least recently used idle writers until the limits are met."""
        total_bytes = sum(writer.cached_bytes for writer in self.writers.values())
        for name, writer in list(self.writers.items()):
            if len(self.writers) <= MAX_WRITERS and total_bytes <= MAX_CACHED_BYTES:
                return
            if name not in self.tasks:
                total_bytes -= writer.cached_bytes
                del self.writers[name]

    async def run_writer(self, writer: SegmentWriter) -> None:
        """Run a writer; give up its pending operations if it fails or is cancelled."""
        failure = Failure(Step.CLAIM, "", "journal-stopped", "the agent is stopping")
        try:
            await writer.run()
        except Exception as error:
            # The cached base may be the cause of the failure.
            writer.base = None
            log.error("journal writer failed", name=writer.name, error=repr(error))
            failure = Failure(Step.CLAIM, "", "journal-failed", repr(error))
        finally:
            del self.tasks[writer.name]
            writer.give_up(list(writer.pending), failure)

    async def close(self) -> None:
        """Cancel running commits; pending operations are answered with a failure."""
        tasks = list(self.tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def check_key(key: str, wall_time: float) -> Failure | None:
    """
    Return why a key is not accepted, or None if it is.

    Parameters
    ----------
    key : str
        The idempotency key.
    wall_time : float
        Wall-clock time, in seconds since 1970.

    Examples
    --------
    >>> check_key("issue-4711", 0.0) is None
    True
    >>> check_key("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 0.0).kind
    'bad-key'
    """
    created_at = key_time(key)
    if len(key) > MAX_KEY_LENGTH:
        detail = f"an idempotency key has at most {MAX_KEY_LENGTH} characters"
    elif created_at is not None and created_at > wall_time + MAX_KEY_CLOCK_SKEW:
        detail = "the idempotency key was made in the future"
    else:
        return None
    return Failure(Step.CLAIM, "", "bad-key", detail)


def is_confirmed(answer: Answer) -> bool:
    """
    Return whether an answer is confirmed by the store.

    Parameters
    ----------
    answer : ClaimAnswer or SettlementAnswer
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
    Open a journal and close it when the context ends.

    Parameters
    ----------
    store : SegmentStore
        The platform's store.
    clock : Clock
        Source of time.
    budget : WriteBudget
        Limits the writes for keys that contain no time.
    """
    journal = Journal(store, clock, budget)
    try:
        yield journal
    finally:
        await journal.close()
