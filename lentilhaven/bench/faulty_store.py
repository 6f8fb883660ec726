"""An in-process store that delays, loses or refuses calls."""

import asyncio
import random
from typing import Any

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.objects.write_outcome import (
    Ambiguous,
    Conflict,
    Refused,
    WriteOutcome,
    Written,
)
from lentilhaven.standins.object_store import ObjectStore

#: Maximum time until a write whose answer is lost is reported as ambiguous, in
#: seconds.
CALL_TIMEOUT = 2.0

#: Maximum delay until a late write takes effect, in seconds.
MAX_WRITE_DELAY = 12.0


@attrs.define
class FaultyStore:
    """
    Store with reads and conditional writes that injects faults.

    Attributes
    ----------
    store : ObjectStore
        Store that holds the objects.
    rng : random.Random
        Source of randomness for the faults.
    outage : bool
        Whether every call fails: reads fail, half of the writes are refused, and
        the others lose their answers.
    lost_answer_rate : float
        Share of writes whose answer is lost; these take effect at once, late or
        never.
    max_delay : float
        Maximum random delay before a call takes effect, and before a write is
        answered, in seconds.
    late_writes : set of asyncio.Task
        Tasks of writes that may still take effect.
    lost_answer_count : int
        Number of writes whose answers were lost.
    """

    store: ObjectStore
    rng: random.Random
    outage: bool = False
    lost_answer_rate: float = 0.02
    max_delay: float = 0.01
    late_writes: set[asyncio.Task] = attrs.field(factory=set)
    lost_answer_count: int = 0

    async def read(self, name: str) -> Result[StoredObject | None, Failure]:
        """Read one object."""
        await asyncio.sleep(self.rng.uniform(0, self.max_delay))
        if self.outage:
            return Error(store_unavailable(Step.READ_OBJECT))
        return Ok(self.store.objects.get(name))

    async def write(self, name: str, value: Any, expected_version: int) -> WriteOutcome:
        """Replace an object if it still has `expected_version`."""
        await asyncio.sleep(self.rng.uniform(0, self.max_delay))
        if self.outage and self.rng.random() < 0.5:
            return Refused(store_unavailable(Step.WRITE_OBJECT))
        if self.outage or self.rng.random() < self.lost_answer_rate:
            return await self.lose_answer(name, value, expected_version)
        version = await self.store.write(name, value, expected_version)
        await asyncio.sleep(self.rng.uniform(0, self.max_delay))
        return Conflict() if version is None else Written(version)

    async def lose_answer(
        self, name: str, value: Any, expected_version: int
    ) -> WriteOutcome:
        """Lose the answer to a write that takes effect now, later or never."""
        self.lost_answer_count += 1
        effect = self.rng.choice(["now", "later", "never"])
        if effect == "now":
            await self.store.write(name, value, expected_version)
        if effect == "later":
            delay = self.rng.uniform(0, MAX_WRITE_DELAY)
            task = asyncio.create_task(
                self.write_late(name, value, expected_version, delay)
            )
            self.late_writes.add(task)
            task.add_done_callback(self.late_writes.discard)
        await asyncio.sleep(self.rng.uniform(0, CALL_TIMEOUT))
        return Ambiguous(store_unavailable(Step.WRITE_OBJECT))

    async def write_late(
        self, name: str, value: Any, expected_version: int, delay: float
    ) -> None:
        """Execute a write after a delay, in seconds."""
        await asyncio.sleep(delay)
        await self.store.write(name, value, expected_version)


def store_unavailable(step: Step) -> Failure:
    """Return the failure that reports an injected fault of the store."""
    return Failure(step, "object-api", "store-unavailable", "injected", retry_after=1.0)
