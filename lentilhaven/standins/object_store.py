"""
State of the platform's object store.

It does not simulate authentication, durability or replication.
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

#: String that sorts after every object name.
MAX_NAME = "\U0010ffff"


@attrs.define
class StoreFaults:
    """
    Faults in force at the object store.

    Attributes
    ----------
    outage : bool
        Whether every call fails.
    delay : float
        Time before each call takes effect, in seconds.
    lost_answer_rate : float
        Fraction of writes that take effect and whose response is then lost.
    lost_request_rate : float
        Fraction of writes that are lost before they take effect; callers can't
        distinguish these from a lost response.
    refusal_rate : float
        Fraction of calls refused with status 429.
    silent_watches : bool
        Whether watches never respond.
    stale_reads : bool
        Whether reads and listings return the state before the last write of each
        object; an object written only once is returned as it is.
    vms_outage : bool
        Whether reads of the list of VMs fail.
    vms_lag : float
        Age of the list of VMs that is returned, in seconds.
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
    Objects with versions, the history of their writes, and a list of VMs.

    Attributes
    ----------
    random : random.Random
        Random number generator that selects the calls that fail.
    objects : dict
        `StoredObject` by name.
    version : int
        Version of the newest write.
    compacted_before : int
        Watches that start after a version below this one are refused with status 410.
    vms : list of ListedVm
        Current VMs.
    faults : StoreFaults
        Faults in force.
    reads, writes : int
        Number of calls so far, except those stopped by an outage or a refusal.
    waiting : int
        Number of watches that are waiting.
    counters : Counter
        Number of watches refused with status 410, under the name ``compacted``.
    vm_history : list of tuple
        Observed changes of the list of VMs, oldest first: event loop time in seconds,
        and the new list.
    previous : dict
        `StoredObject` before the last write, by name.
    newest_by_root : dict
        Version of the newest write, by the first component of the name.
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
    previous: dict[str, StoredObject] = attrs.field(factory=dict)
    newest_by_root: dict[str, int] = attrs.field(factory=dict)
    changes: list[tuple[int, str]] = attrs.field(factory=list)
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    async def write(self, name: str, value: Any, expected_version: int) -> int | None:
        """
        Write an object and return its version, or None on a version conflict.

        Parameters
        ----------
        name : str
            Name of the object.
        value : Any
            JSON value to write.
        expected_version : int
            Version that the object must have; 0 if it must not exist.
        """
        current = self.objects.get(name)
        current_version = current.version if current else 0
        if current_version != expected_version:
            return None
        self.version += 1
        if current is not None:
            self.previous[name] = current
        self.objects[name] = StoredObject(name, self.version, value)
        self.changes.append((self.version, name))
        self.newest_by_root[name.partition("/")[0]] = self.version
        async with self.changed:
            self.changed.notify_all()
        return self.version

    def list_below(self, prefix: str, after: int = 0) -> list[StoredObject]:
        """
        Return the objects with a name prefix that are newer than a version.

        Parameters
        ----------
        prefix : str
            Prefix of the names.
        after : int
            Version that the caller has already read; 0 to return all objects.
        """
        # Skips the search if the prefix includes the whole first component of the name
        # and nothing under that component is newer than `after`.
        root, separator, _ = prefix.partition("/")
        if separator and self.newest_by_root.get(root, 0) <= after:
            return []
        first = bisect.bisect_right(self.changes, (after, MAX_NAME))
        names = {name for _, name in self.changes[first:] if name.startswith(prefix)}
        return [self.objects[name] for name in sorted(names)]

    def read(self, name: str) -> StoredObject | None:
        """
        Return an object, or None if it does not exist.

        If `stale_reads` is set, returns the state before the last write, if any.

        Parameters
        ----------
        name : str
            Name of the object.
        """
        stored = self.objects.get(name)
        return self.previous.get(name, stored) if self.faults.stale_reads else stored

    def list_at(self, prefix: str) -> Listing:
        """
        Return the objects with a name prefix, and the version of the listing.

        With `stale_reads`, that version is the lowest version of the listed objects.

        Parameters
        ----------
        prefix : str
            Prefix of the names.
        """
        found = [self.read(stored.name) or stored for stored in self.list_below(prefix)]
        oldest = min((stored.version for stored in found), default=0)
        return Listing(oldest if self.faults.stale_reads else self.version, found)

    def observe_vms(self) -> float:
        """Record the list of VMs if it has changed, and return the event loop time."""
        now = asyncio.get_running_loop().time()
        if not self.vm_history or self.vm_history[-1][1] != self.vms:
            self.vm_history.append((now, list(self.vms)))
        return now

    def list_vms(self, now: float) -> VmList:
        """
        Return the list of VMs as of `vms_lag` seconds before a time.

        Returns the first recorded list if none is that old.

        Parameters
        ----------
        now : float
            Event loop time in seconds, as returned by `observe_vms`, which also
            records the current list.
        """
        as_of = now - self.faults.vms_lag
        current = 0
        for index, (since, _) in enumerate(self.vm_history):
            if since <= as_of:
                current = index
        return VmList(current + 1, self.vm_history[current][1])

    async def wait_for_change(self, prefix: str, after: int, timeout: float) -> None:
        """
        Wait until an object with a name prefix is newer than a version.

        Returns without an error at the timeout.

        Parameters
        ----------
        prefix : str
            Prefix of the names.
        after : int
            Version that the caller has already read.
        timeout : float
            Maximum time to wait, in seconds.
        """
        try:
            async with asyncio.timeout(timeout), self.changed:
                await self.changed.wait_for(
                    lambda: bool(self.list_below(prefix, after))
                )
        except TimeoutError:
            return
