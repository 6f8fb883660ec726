"""
The state of the platform's object API.

Left out: authentication, durability and replication of the platform itself.
"""

import asyncio
import random
from typing import Any

import attrs

from lentilhaven.platform.stored_object import StoredObject
from lentilhaven.platform.vm import ListedVm


@attrs.define
class StoreFaults:
    """
    Faults that the stand-in injects.

    Attributes
    ----------
    outage : bool
        Every call fails.
    delay : float
        Seconds added before each call takes effect.
    lost_answer_rate : float
        Share of writes whose answer is lost after the write took effect.
    refusal_rate : float
        Share of calls refused with 429.
    silent_watches : bool
        Watches never answer.
    """

    outage: bool = False
    delay: float = 0.0
    lost_answer_rate: float = 0.0
    refusal_rate: float = 0.0
    silent_watches: bool = False


@attrs.define
class ObjectStore:
    """
    Objects with versions, a watch history and a list of VMs.

    Attributes
    ----------
    random : random.Random
        Decides which calls meet a fault.
    objects : dict
        `StoredObject` by name.
    version : int
        Version of the newest write.
    compacted_before : int
        Watches after an older version are answered with 410.
    vms : list of ListedVm
        What the list of VMs answers.
    faults : StoreFaults
        Faults in force.
    reads, writes : int
        Calls so far.
    changed : asyncio.Condition
        Notified at each write.
    """

    random: random.Random
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    version: int = 0
    compacted_before: int = 0
    vms: list[ListedVm] = attrs.field(factory=list)
    faults: StoreFaults = attrs.field(factory=StoreFaults)
    reads: int = 0
    writes: int = 0
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    async def write(self, name: str, value: Any, expected_version: int) -> int | None:
        """
        Write if the object has `expected_version`; None on a conflict.

        Parameters
        ----------
        name : str
            Name of the object.
        value : Any
            JSON value.
        expected_version : int
            0 if the object must not exist.
        """
        current = self.objects.get(name)
        current_version = current.version if current else 0
        if current_version != expected_version:
            return None
        self.version += 1
        self.objects[name] = StoredObject(name, self.version, value)
        async with self.changed:
            self.changed.notify_all()
        return self.version

    def below(self, prefix: str, after: int = 0) -> list[StoredObject]:
        """
        Return the objects below a prefix that are newer than a version.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        after : int
            Version already seen.
        """
        return [
            stored
            for name, stored in sorted(self.objects.items())
            if name.startswith(prefix) and stored.version > after
        ]

    async def wait_for_change(self, prefix: str, after: int, timeout: float) -> None:
        """
        Wait until something below `prefix` is newer than `after`.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        after : int
            Version already seen.
        timeout : float
            Seconds after which to return anyway.
        """
        try:
            async with asyncio.timeout(timeout), self.changed:
                await self.changed.wait_for(lambda: bool(self.below(prefix, after)))
        except TimeoutError:
            return
