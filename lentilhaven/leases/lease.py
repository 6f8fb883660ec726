"""Holds one lease, or waits for it."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
from transitions import Machine, MachineError

from lentilhaven.core.clock import Clock
from lentilhaven.core.converter import CONVERTER, to_document
from lentilhaven.core.ids import VmId
from lentilhaven.core.invariants import ensure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import running_tasks
from lentilhaven.leases.lease_record import LeaseRecord
from lentilhaven.leases.lease_rules import (
    Sighting,
    may_take_over,
    next_record,
    note_sighting,
)
from lentilhaven.leases.lease_settings import LeaseSettings
from lentilhaven.leases.lease_store import LeaseStore
from lentilhaven.objects.write_outcome import Written

TRANSITIONS: list[Any] = [
    ["take", "outside", "held"],
    ["renew", "held", "held"],
    ["lapse", "held", "outside"],
]

MACHINE = Machine(
    model=None,
    states=["outside", "held"],
    initial="outside",
    transitions=TRANSITIONS,
    auto_transitions=False,
)

log = get_logger("leases")


@attrs.define
class Lease:
    """
    One process's side of a lease.

    Attributes
    ----------
    store : LeaseStore
        The platform's store.
    name : str
        Name of the object.
    vm, run : str
        This VM, and the unique id of this process.
    clock : Clock
        Source of time; only its monotonic reading is used.
    settings : LeaseSettings
        Times.
    wanted : callable
        Returns whether this VM should try to take the lease.
    state : str
        ``"held"`` or ``"outside"``.
    record : LeaseRecord or None
        The record of the present hold.
    valid_until : float
        Monotonic time at which the hold ends unless it is renewed, in seconds.
    sighting : Sighting or None
        What was last read.
    """

    store: LeaseStore
    name: str
    vm: VmId
    run: str
    clock: Clock
    settings: LeaseSettings = attrs.field(factory=LeaseSettings)
    wanted: Callable[[], bool] = lambda: True
    state: str = "outside"
    record: LeaseRecord | None = None
    valid_until: float = 0.0
    sighting: Sighting | None = None

    def fence(self, span: float = 0.0) -> int | None:
        """
        Return the fencing number if the lease is certain to last.

        Parameters
        ----------
        span : float
            Seconds for which the lease is needed; what is begun must end
            within them.

        Returns
        -------
        int or None
            None if this process may not act.
        """
        if self.clock.monotonic() + span >= self.valid_until:
            return None
        if self.state != "held" or self.record is None:
            return None
        return self.record.fence

    def move(self, trigger: str) -> None:
        """Move on, or raise if the state machine has no such transition."""
        try:
            MACHINE.events[trigger].trigger(self)
        except MachineError:
            ensure(False, "lease-state", f"{trigger} from {self.state}")

    async def keep(self) -> None:
        """Take the lease whenever it is free, and renew it, for ever."""
        while True:
            await self.clock.sleep(await self.step())

    async def step(self) -> float:
        """Do what is due and return the seconds until the next step."""
        if self.state == "held" and self.fence() is None:
            log.warning("lease lapsed before it was renewed", lease=self.name)
            self.move("lapse")
        if self.state == "held":
            return await self.renew()
        if not self.wanted():
            return self.settings.poll
        return await self.try_to_take()

    async def renew(self) -> float:
        """Renew the hold; a renewal that is not confirmed does not extend it."""
        assert self.record is not None and self.sighting is not None
        renewed = attrs.evolve(self.record, renewal=self.record.renewal + 1)
        if await self.write(renewed, self.sighting.version):
            return self.settings.renewal
        # A write whose answer was lost shows up in the store as this record.
        await self.look(renewed)
        return self.settings.poll

    async def try_to_take(self) -> float:
        """Read the lease and take it if its holder's time is certainly over."""
        if not await self.look(None):
            return self.settings.poll
        sighting = self.sighting
        assert sighting is not None
        now = self.clock.monotonic()
        # A take-over of this process whose answer was lost need not be waited out.
        own = sighting.record is not None and sighting.record.run == self.run
        if not own and not may_take_over(sighting, self.settings, now):
            return self.settings.poll
        record = next_record(sighting.record, self.vm, self.run)
        if await self.write(record, sighting.version):
            return self.settings.renewal
        return self.settings.poll

    async def write(self, record: LeaseRecord, version: int) -> bool:
        """Write a record; on success the hold counts from before the write."""
        sent = self.clock.monotonic()
        outcome = await self.store.write(self.name, to_document(record), version)
        if not isinstance(outcome, Written):
            return False
        self.adopt(record, outcome.version, sent)
        return True

    def adopt(self, record: LeaseRecord, version: int, sent: float) -> None:
        """Take a confirmed record for the hold's."""
        now = self.clock.monotonic()
        if self.record is not None:
            ensure(record.fence >= self.record.fence, "fence-rises", record)
        self.move("renew" if self.state == "held" else "take")
        self.record = record
        self.valid_until = sent + self.settings.duration
        self.sighting = Sighting(version, record, now)

    async def look(self, sent: LeaseRecord | None) -> bool:
        """
        Read the lease; extend the hold if the store holds the record just sent.

        Parameters
        ----------
        sent : LeaseRecord or None
            A record whose write was not confirmed.
        """
        found = await self.store.read(self.name)
        if found.is_error():
            return False
        stored = found.ok
        record = CONVERTER.structure(stored.value, LeaseRecord) if stored else None
        version = stored.version if stored else 0
        now = self.clock.monotonic()
        self.sighting = note_sighting(self.sighting, version, record, now)
        if self.state == "held" and record != self.record:
            self.follow(record, version, sent)
        return True

    def follow(
        self, record: LeaseRecord | None, version: int, sent: LeaseRecord | None
    ) -> None:
        """Go on with a renewal that took effect, or give the hold up."""
        if record is not None and record == sent:
            # When it was sent is not known any more: the hold's end stays.
            self.record = record
            return
        log.warning("lease was taken over", lease=self.name)
        self.move("lapse")

    async def give_back(self) -> None:
        """Let another VM take the lease at once."""
        if self.state != "held" or self.record is None or self.sighting is None:
            return
        self.move("lapse")
        freed = LeaseRecord(VmId(""), "", self.record.fence)
        await self.store.write(self.name, to_document(freed), self.sighting.version)


@asynccontextmanager
async def open_lease(lease: Lease) -> AsyncIterator[Lease]:
    """
    Keep a lease until the context ends, then give it back.

    Parameters
    ----------
    lease : Lease
        The lease.
    """
    async with running_tasks(lease.keep()):
        yield lease
    await lease.give_back()
