"""Acquires, renews and releases one lease."""

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
    Observation,
    may_take_over,
    takeover_record,
    update_observation,
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
    A process's view of a lease that it holds or tries to acquire.

    Attributes
    ----------
    store : LeaseStore
        Store that contains the lease object.
    name : str
        Name of the lease object.
    vm, run : str
        This VM, and the unique id of this process.
    clock : Clock
        Source of time; only its monotonic reading is used.
    settings : LeaseSettings
        Duration and intervals of the lease.
    should_acquire : callable
        Returns whether this VM should try to acquire the lease.
    state : str
        ``"held"`` or ``"outside"``.
    record : LeaseRecord or None
        The record of this process's current or last term; None before the first.
    valid_until : float
        Monotonic time at which the term expires unless renewed, in seconds.
    observation : Observation or None
        What this process last read from or wrote to the lease object.
    """

    store: LeaseStore
    name: str
    vm: VmId
    run: str
    clock: Clock
    settings: LeaseSettings = attrs.field(factory=LeaseSettings)
    should_acquire: Callable[[], bool] = lambda: True
    state: str = "outside"
    record: LeaseRecord | None = None
    valid_until: float = 0.0
    observation: Observation | None = None

    def fencing_number(self, span: float = 0.0) -> int | None:
        """
        Return the fencing number if the lease is sure to last `span` seconds.

        Parameters
        ----------
        span : float
            Seconds for which the lease is needed; an operation that relies on
            the fencing number must end within this time.

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

    def fire_trigger(self, trigger: str) -> None:
        """Apply a transition, or raise `InvariantError` if it is not allowed."""
        try:
            MACHINE.events[trigger].trigger(self)
        except MachineError:
            ensure(False, "lease-state", f"{trigger} from {self.state}")

    async def maintain(self) -> None:
        """Acquire the lease whenever it is free, and renew it, until cancelled."""
        while True:
            await self.clock.sleep(await self.step())

    async def step(self) -> float:
        """
        Renew the lease or try to acquire it; return the delay until the next step.

        The delay is in seconds.
        """
        if self.state == "held" and self.fencing_number() is None:
            log.warning("lease lapsed before it was renewed", lease=self.name)
            self.fire_trigger("lapse")
        if self.state == "held":
            return await self.renew()
        if not self.should_acquire():
            return self.settings.poll_interval
        return await self.try_acquire()

    async def renew(self) -> float:
        """
        Renew the lease; return the delay until the next step, in seconds.

        An unconfirmed renewal does not extend the term.
        """
        assert self.record is not None and self.observation is not None
        renewed = attrs.evolve(self.record, renewal=self.record.renewal + 1)
        if await self.write(renewed, self.observation.version):
            return self.settings.renewal_interval
        # If only the response was lost, the store contains this record.
        await self.refresh(renewed)
        return self.settings.poll_interval

    async def try_acquire(self) -> float:
        """
        Read the lease, and take it over if it is free or its term has expired.

        Returns the delay until the next step, in seconds.
        """
        if not await self.refresh(None):
            return self.settings.poll_interval
        observation = self.observation
        assert observation is not None
        now = self.clock.monotonic()
        # If the response to this process's own takeover was lost, waiting for
        # that term to expire is unnecessary.
        is_own = observation.record is not None and observation.record.run == self.run
        if not is_own and not may_take_over(observation, self.settings, now):
            return self.settings.poll_interval
        record = takeover_record(observation.record, self.vm, self.run)
        if await self.write(record, observation.version):
            return self.settings.renewal_interval
        return self.settings.poll_interval

    async def write(self, record: LeaseRecord, version: int) -> bool:
        """
        Write a record, and return whether the write was confirmed.

        The term that a confirmed write grants starts when the write was sent.
        """
        sent_at = self.clock.monotonic()
        outcome = await self.store.write(self.name, to_document(record), version)
        if not isinstance(outcome, Written):
            return False
        self.apply_write(record, outcome.version, sent_at)
        return True

    def apply_write(self, record: LeaseRecord, version: int, sent_at: float) -> None:
        """Start or extend the term with a confirmed record."""
        now = self.clock.monotonic()
        if self.record is not None:
            ensure(record.fence >= self.record.fence, "fence-rises", record)
        self.fire_trigger("renew" if self.state == "held" else "take")
        self.record = record
        self.valid_until = sent_at + self.settings.duration
        self.observation = Observation(version, record, now)

    async def refresh(self, unconfirmed: LeaseRecord | None) -> bool:
        """
        Read the lease, and end the term if another process has changed it.

        Parameters
        ----------
        unconfirmed : LeaseRecord or None
            A renewal whose write was not confirmed; it may be in the store.

        Returns
        -------
        bool
            False if the read failed.
        """
        found = await self.store.read(self.name)
        if found.is_error():
            return False
        stored = found.ok
        record = CONVERTER.structure(stored.value, LeaseRecord) if stored else None
        version = stored.version if stored else 0
        now = self.clock.monotonic()
        self.observation = update_observation(self.observation, version, record, now)
        if self.state == "held" and record != self.record:
            self.handle_record_change(record, version, unconfirmed)
        return True

    def handle_record_change(
        self, record: LeaseRecord | None, version: int, unconfirmed: LeaseRecord | None
    ) -> None:
        """Keep a renewal that took effect, or end the term."""
        if record is not None and record == unconfirmed:
            # The send time is no longer known, so `valid_until` is not extended.
            self.record = record
            return
        log.warning("lease was taken over", lease=self.name)
        self.fire_trigger("lapse")

    async def release(self) -> None:
        """Release the lease, so that another VM can acquire it at once."""
        if self.state != "held" or self.record is None or self.observation is None:
            return
        self.fire_trigger("lapse")
        released = LeaseRecord(VmId(""), "", self.record.fence)
        await self.store.write(
            self.name, to_document(released), self.observation.version
        )


@asynccontextmanager
async def open_lease(lease: Lease) -> AsyncIterator[Lease]:
    """
    Maintain a lease until the context ends, then release it.

    Parameters
    ----------
    lease : Lease
        The lease to maintain.
    """
    async with running_tasks(lease.maintain()):
        yield lease
    await lease.release()
