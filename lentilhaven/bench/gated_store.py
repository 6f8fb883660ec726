"""A store client that waits before and after each call while its process is paused."""

import asyncio
from typing import Any

import attrs
from expression import Result

from lentilhaven.bench.faulty_store import FaultyStore
from lentilhaven.core.failure import Failure
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.objects.write_outcome import WriteOutcome


@attrs.define
class GatedStore:
    """
    Store client that waits, before and after each call, while its process is paused.

    Attributes
    ----------
    store : FaultyStore
        Store that handles the calls.
    running : asyncio.Event
        Cleared while the process is paused.
    """

    store: FaultyStore
    running: asyncio.Event

    async def read(self, name: str) -> Result[StoredObject | None, Failure]:
        """Read one object."""
        await self.running.wait()
        outcome = await self.store.read(name)
        await self.running.wait()
        return outcome

    async def write(self, name: str, value: Any, expected_version: int) -> WriteOutcome:
        """Replace an object if it still has `expected_version`."""
        await self.running.wait()
        # The shielded task survives a crash of the writer: a write that was sent
        # still takes effect.
        task = asyncio.create_task(self.store.write(name, value, expected_version))
        self.store.late_writes.add(task)
        task.add_done_callback(self.store.late_writes.discard)
        outcome = await asyncio.shield(task)
        await self.running.wait()
        return outcome
