"""Acquires, renews and releases one lease."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
from transitions import Machine, MachineError

from lentilhaven.core.clock import Clock
from lentilhaven.core.converter import to_document
from lentilhaven.core.ids import VmId
from lentilhaven.core.invariants import ensure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import keep_running, running_tasks
from lentilhaven.leases.lease_record import UNKNOWN_RUN, LeaseRecord, decode_record
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
    should_hold : callable
        Returns whether this VM should keep the lease; if not, it releases the lease.
    state : str
        ``"held"`` or ``"outside"``.
    record : LeaseRecord or None
        The record of this process's current or last term; None before the first.
    valid_until : float
        Monotonic time at which the term expires unless renewed, in seconds.
    observation : Observation or None
        What this process last read from or wrote to the lease object.
    current_era : callable
        Returns the newest known era of the store.  A term ends with the era in which
        it began: the restored store may name another holder.
    era : int
        Era of the current or last term.
    written_era : int or None
        Era in which this process last tried to write the lease object; None before
        the first attempt.
    highest_fence : int
        Highest fencing number that this process has read or written.
    """

    store: LeaseStore
    name: str
    vm: VmId
    run: str
    clock: Clock
    settings: LeaseSettings = attrs.field(factory=LeaseSettings)
    should_acquire: Callable[[], bool] = lambda: True
    should_hold: Callable[[], bool] = lambda: True
    state: str = "outside"
    record: LeaseRecord | None = None
    valid_until: float = 0.0
    observation: Observation | None = None
    current_era: Callable[[], int] = lambda: 0
    era: int = 0
    written_era: int | None = None
    highest_fence: int = 0

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
        if self.current_era() > self.era:
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
            log.warning(
                "lease lapsed before it was renewed",
                lease=self.name,
                era=self.era,
                current_era=self.current_era(),
            )
            self.fire_trigger("lapse")
        if self.state == "held" and not self.should_hold():
            log.info("lease is left to another VM", lease=self.name)
            await self.release()
            return self.settings.poll_interval
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
        if await self.write(renewed, self.observation):
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
        # that term to expire is unnecessary.  A record that a restore brought back
        # does not count: another process may have taken the lease over after it.
        is_own = (
            observation.record is not None
            and observation.record.run == self.run
            and observation.era == self.written_era
        )
        if not is_own and not may_take_over(observation, self.settings, now):
            return self.settings.poll_interval
        record = takeover_record(observation, self.vm, self.run, self.highest_fence)
        if await self.write(record, observation):
            return self.settings.renewal_interval
        return self.settings.poll_interval

    async def write(self, record: LeaseRecord, observation: Observation) -> bool:
        """
        Replace what was observed by a record, and return whether this was confirmed.

        The term that a confirmed write grants starts when the write was sent.  A write
        that took effect in a later era than that of the observation confirms nothing:
        the version may have been given to another holder's record.
        """
        if self.current_era() > observation.era:
            return False
        sent_at = self.clock.monotonic()
        self.written_era = observation.era
        outcome = await self.store.write(
            self.name, to_document(record), observation.version
        )
        if not isinstance(outcome, Written):
            return False
        if outcome.era != observation.era:
            log.warning(
                "lease written in another era",
                lease=self.name,
                era=outcome.era,
                observed_era=observation.era,
            )
            return False
        self.apply_write(record, outcome, sent_at)
        return True

    def apply_write(
        self, record: LeaseRecord, outcome: Written, sent_at: float
    ) -> None:
        """Start or extend the term with a confirmed record."""
        now = self.clock.monotonic()
        if self.record is not None:
            ensure(record.fence >= self.record.fence, "fence-rises", record)
        self.fire_trigger("renew" if self.state == "held" else "take")
        self.record = record
        self.era = outcome.era
        self.highest_fence = max(self.highest_fence, record.fence)
        self.valid_until = sent_at + self.settings.duration
        self.observation = Observation(outcome.version, record, now, outcome.era)

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
        record = decode_record(stored.value) if stored else None
        version = stored.version if stored else 0
        era = stored.era if stored else self.current_era()
        if record is not None:
            self.highest_fence = max(self.highest_fence, record.fence)
        now = self.clock.monotonic()
        previous = self.observation
        self.observation = update_observation(previous, version, record, now, era)
        is_unreadable = record is not None and record.run == UNKNOWN_RUN
        if is_unreadable and self.observation is not previous:
            log.warning("lease record can't be read", lease=self.name, version=version)
        if self.state == "held" and (record != self.record or era != self.era):
            self.handle_record_change(record, era, unconfirmed)
        return True

    def handle_record_change(
        self, record: LeaseRecord | None, era: int, unconfirmed: LeaseRecord | None
    ) -> None:
        """Keep a renewal that took effect in the era of the term, or end the term."""
        if record is not None and record == unconfirmed and era == self.era:
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
        if self.current_era() > self.era:
            return
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
    async with running_tasks(keep_running(lease.maintain)):
        yield lease
    await lease.release()
