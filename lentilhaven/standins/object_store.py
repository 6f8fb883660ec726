"""
The state of the platform's object API.

Left out: authentication, durability and replication of the platform itself.
"""

import asyncio
import bisect
import random
from collections import Counter
from typing import Any

import attrs

from lentilhaven.objects.listing import Listing
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.objects.vm import ListedVm
from lentilhaven.objects.vm_list import VmList

#: A string above every name of an object.
MAX_NAME = "\U0010ffff"


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
    lost_request_rate : float
        Share of writes that are lost before they take effect, which looks the same.
    refusal_rate : float
        Share of calls refused with 429.
    silent_watches : bool
        Watches never answer.
    stale_reads : bool
        Reads and lists answer as of before the last write of each object.
    vms_outage : bool
        Reads of the list of VMs fail.
    vms_lag : float
        Seconds by which the list of VMs is old.
    """

    outage: bool = False
    delay: float = 0.0
    lost_answer_rate: float = 0.0
    lost_request_rate: float = 0.0
    refusal_rate: float = 0.0
    silent_watches: bool = False
    stale_reads: bool = False
    vms_outage: bool = False
    vms_lag: float = 0.0


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
    waiting : int
        Watches that wait now.
    counters : Counter
        Faults met so far, by name.
    vm_history : list of tuple
        Times at which the list of VMs was seen to change, with the list.
    former : dict
        What each object held before its last write.
    newest : dict
        Version of the newest write by the first part of the name.
    changes : list of tuple
        Version and name of each write, oldest first.
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
    waiting: int = 0
    counters: Counter[str] = attrs.field(factory=Counter)
    vm_history: list[tuple[float, list[ListedVm]]] = attrs.field(factory=list)
    former: dict[str, StoredObject] = attrs.field(factory=dict)
    newest: dict[str, int] = attrs.field(factory=dict)
    changes: list[tuple[int, str]] = attrs.field(factory=list)
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
        if current is not None:
            self.former[name] = current
        self.objects[name] = StoredObject(name, self.version, value)
        self.changes.append((self.version, name))
        self.newest[name.partition("/")[0]] = self.version
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
        root, below_root, _ = prefix.partition("/")
        if below_root and self.newest.get(root, 0) <= after:
            return []
        first = bisect.bisect_right(self.changes, (after, MAX_NAME))
        names = {name for _, name in self.changes[first:] if name.startswith(prefix)}
        return [self.objects[name] for name in sorted(names)]

    def read(self, name: str) -> StoredObject | None:
        """
        Return an object, or what it was before, as the faults say.

        Parameters
        ----------
        name : str
            Name of the object.
        """
        stored = self.objects.get(name)
        return self.former.get(name, stored) if self.faults.stale_reads else stored

    def list_at(self, prefix: str) -> Listing:
        """
        Return the objects below a prefix, and the version as of which they are.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        """
        found = [self.read(stored.name) or stored for stored in self.below(prefix)]
        oldest = min((stored.version for stored in found), default=0)
        return Listing(oldest if self.faults.stale_reads else self.version, found)

    def now(self) -> float:
        """Return the event loop's time, and note a change of the list of VMs."""
        now = asyncio.get_running_loop().time()
        if not self.vm_history or self.vm_history[-1][1] != self.vms:
            self.vm_history.append((now, list(self.vms)))
        return now

    def list_vms(self, now: float) -> VmList:
        """
        Return the list of VMs as it was, by the lag, before a time.

        Parameters
        ----------
        now : float
            Time of the call; changes are seen when `now` is read.
        """
        seen = now - self.faults.vms_lag
        current = 0
        for index, (since, _) in enumerate(self.vm_history):
            if since <= seen:
                current = index
        return VmList(current + 1, self.vm_history[current][1])

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
