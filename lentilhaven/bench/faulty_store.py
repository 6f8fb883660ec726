"""A store in this process whose calls are slow, lost, late or refused."""

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

#: Seconds after which a call is given up.
CALL_TIMEOUT = 2.0

#: Seconds after which a late write takes effect at the latest.
MAX_LATENESS = 12.0


@attrs.define
class FaultyStore:
    """
    Reads and conditional updates with faults.

    Attributes
    ----------
    store : ObjectStore
        The state.
    source : random.Random
        Decides which calls meet a fault.
    outage : bool
        Every call fails, at once or after a while.
    lost_rate : float
        Share of writes whose answer is lost; some take effect late, some never.
    slowness : float
        Longest time of a call, in seconds.
    late : set of asyncio.Task
        Writes that may still take effect.
    lost : int
        Answers lost so far.
    """

    store: ObjectStore
    source: random.Random
    outage: bool = False
    lost_rate: float = 0.02
    slowness: float = 0.01
    late: set[asyncio.Task] = attrs.field(factory=set)
    lost: int = 0

    async def read(self, name: str) -> Result[StoredObject | None, Failure]:
        """Read one object."""
        await asyncio.sleep(self.source.uniform(0, self.slowness))
        if self.outage:
            return Error(lost_call(Step.READ_OBJECT))
        return Ok(self.store.objects.get(name))

    async def write(self, name: str, value: Any, expected_version: int) -> WriteOutcome:
        """Replace an object if it still has `expected_version`."""
        await asyncio.sleep(self.source.uniform(0, self.slowness))
        if self.outage and self.source.random() < 0.5:
            return Refused(lost_call(Step.WRITE_OBJECT))
        if self.outage or self.source.random() < self.lost_rate:
            return await self.lose(name, value, expected_version)
        version = await self.store.write(name, value, expected_version)
        await asyncio.sleep(self.source.uniform(0, self.slowness))
        return Conflict() if version is None else Written(version)

    async def lose(self, name: str, value: Any, expected_version: int) -> WriteOutcome:
        """Lose the answer of a write that takes effect now, later or never."""
        self.lost += 1
        kind = self.source.choice(["now", "later", "never"])
        if kind == "now":
            await self.store.write(name, value, expected_version)
        if kind == "later":
            delay = self.source.uniform(0, MAX_LATENESS)
            task = asyncio.create_task(
                self.write_late(name, value, expected_version, delay)
            )
            self.late.add(task)
            task.add_done_callback(self.late.discard)
        await asyncio.sleep(self.source.uniform(0, CALL_TIMEOUT))
        return Ambiguous(lost_call(Step.WRITE_OBJECT))

    async def write_late(
        self, name: str, value: Any, expected_version: int, delay: float
    ) -> None:
        """Let a write take effect after a delay."""
        await asyncio.sleep(delay)
        await self.store.write(name, value, expected_version)


def lost_call(step: Step) -> Failure:
    """Return the failure of a call that the store did not answer."""
    return Failure(step, "object-api", "store-unavailable", "injected", retry_after=1.0)
