"""The scenario ``config-spread``: time until all routers use an accepted edit."""

import asyncio
import random
from collections import Counter

import attrs

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.quantiles import quantile
from lentilhaven.bench.racing_edits import race_operators
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.distribution.table_reader import read_head, read_tables
from lentilhaven.distribution.tree import WATCHERS_PER_DATA_CENTRE, watch_key
from lentilhaven.membership.rendezvous import choose_owners
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables.tables import Tables
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.testbed import derive_testbed_random
from lentilhaven.testbed.testbed_vm import TestbedVm

#: Number of timed edits when no size is given.
DEFAULT_SIZE = 120

#: Number of concurrent edits per timed edit; about 10,000 in all at the default size.
RACING_PER_EDIT = 84

#: Seconds between two polls of the routers' versions.
POLL_INTERVAL = 0.005

#: Seconds after which waiting for an edit to be in force ends.
EDIT_TIMEOUT = 30.0

#: Seconds of a store outage.
OUTAGE_LENGTH = 8.0

VM_COUNT = 9


@attrs.define
class SpreadMeasurement:
    """
    Times until edits are in force, measured in a testbed.

    Attributes
    ----------
    testbed : Testbed
        System under test.
    rng : random.Random
        Source of random numbers.
    seconds : dict
        Seconds from acceptance of an edit until it is in force everywhere, by kind
        of fault.
    highest : dict
        Table version seen last at each router, by the `id()` of the router.
    reversions : int
        Number of times that a router's version decreased.
    """

    testbed: Testbed
    rng: random.Random
    seconds: dict[str, list[float]] = attrs.field(factory=dict)
    highest: Counter[int] = attrs.field(factory=Counter)
    reversions: int = 0

    def poll_lowest_version(self) -> int:
        """Record the routers' table versions and return the lowest one in use."""
        lowest = None
        for vm in self.testbed.vms:
            version = vm.router.view.tables.version
            self.reversions += version < self.highest[id(vm.router)]
            self.highest[id(vm.router)] = version
            lowest = version if lowest is None else min(lowest, version)
        return lowest or 0

    async def time_edit(self, fault: str, index: int) -> None:
        """
        Make an edit, inject a fault at once, and record the time until it is in force.

        The fault is reverted at the end.  The wait ends after `EDIT_TIMEOUT`.

        Parameters
        ----------
        fault : str
            ``"none"``, ``"watcher"`` to kill a VM that watches the store, or
            ``"outage"`` for an outage of the store.
        index : int
            Sequence number of the edit.
        """
        tables = self.make_edited_tables(index)
        version = await self.testbed.apply(tables, f"edit-{index}")
        began = self.testbed.clock.monotonic()
        killed = await self.inject_fault(fault)
        while self.poll_lowest_version() < version:
            if self.testbed.clock.monotonic() - began > EDIT_TIMEOUT:
                break
            await self.testbed.clock.sleep(POLL_INTERVAL)
        elapsed = self.testbed.clock.monotonic() - began
        self.seconds.setdefault(fault, []).append(elapsed)
        await self.revert_fault(killed)

    def make_edited_tables(self, index: int) -> Tables:
        """Return the newest tables in force with one route changed."""
        newest = max(self.testbed.vms, key=lambda vm: vm.router.view.tables.version)
        tables = newest.router.view.tables
        first = attrs.evolve(tables.routes[0], deadline=10.0 + index % 50)
        return attrs.evolve(tables, routes=[first, *tables.routes[1:]])

    async def inject_fault(self, fault: str) -> TestbedVm | None:
        """Inject a fault; return the VM that it killed, if any."""
        if fault == "outage":
            self.testbed.store.faults.outage = True
        if fault != "watcher":
            return None
        data_centre = self.rng.choice(self.testbed.plan.data_centres)
        local_vms = [vm for vm in self.testbed.vms if vm.data_centre == data_centre]
        names = [vm.id for vm in local_vms]
        watcher = choose_owners(
            watch_key(data_centre), names, WATCHERS_PER_DATA_CENTRE
        )[0]
        killed = next(vm for vm in local_vms if vm.id == watcher)
        await self.testbed.kill_vm(killed)
        return killed

    async def revert_fault(self, killed: TestbedVm | None) -> None:
        """Revert a fault and let the system settle for a random time."""
        clock = self.testbed.clock
        if self.testbed.store.faults.outage:
            await clock.sleep(OUTAGE_LENGTH)
            self.testbed.store.faults.outage = False
            await clock.sleep(3.0)
        if killed is not None:
            await clock.sleep(self.rng.uniform(0.0, 4.0))
            port = int(killed.agent_url.rpartition(":")[2])
            await self.testbed.start_vm(killed.id, killed.data_centre, port)
            await clock.sleep(3.0)
        await clock.sleep(self.rng.uniform(0.0, 3.0))

    async def differing_tables(self) -> int:
        """Return how many routers' tables differ from a direct read of the store."""
        client = self.testbed.client
        head = (await read_head(client)).ok
        reference = (await read_tables(client, head)).ok
        return sum(vm.router.view.tables != reference for vm in self.testbed.vms)


def run_config_spread(options: ScenarioOptions) -> Report:
    """
    Time the propagation of edits under faults, then let operators edit concurrently.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of timed edits.
    """
    size = options.size or DEFAULT_SIZE
    VIOLATIONS.clear()
    figures = run_virtual(time_edits(options.seed, size))
    racing = size * RACING_PER_EDIT
    figures |= run_virtual(race_operators(options.seed, racing))
    figures["violations"] = at_most(sum(VIOLATIONS.values()), 0, "invariants")
    return Report("config-spread", options.seed, figures)


async def time_edits(seed: int, size: int) -> dict[str, Figure]:
    """Time edits under each kind of fault in turn and return the figures."""
    plan = TestbedPlan(seed=seed, vm_count=VM_COUNT)
    async with open_testbed(plan) as testbed:
        measurement = SpreadMeasurement(
            testbed, derive_testbed_random(testbed, "config-spread")
        )
        await asyncio.sleep(3.0)
        for index in range(size):
            await measurement.time_edit(("none", "watcher", "outage")[index % 3], index)
        await measurement.time_edit("none", size)
        differing = await measurement.differing_tables()
    all_seconds = [it for seconds in measurement.seconds.values() for it in seconds]
    figures = {
        "in_force_p50": observed(quantile(all_seconds, 0.5), "s"),
        "in_force_p99": at_most(quantile(all_seconds, 0.99), 2.0, "s"),
        "in_force_max": at_most(max(all_seconds), 6.0, "s"),
        "reversions": at_most(measurement.reversions, 0, "versions"),
        "differ_from_naive": at_most(differing, 0, "routers"),
        "timed_edits": at_least(len(all_seconds), size, "edits"),
    }
    for fault, seconds in sorted(measurement.seconds.items()):
        figures[f"in_force_max_{fault}"] = observed(max(seconds), "s")
    return figures
