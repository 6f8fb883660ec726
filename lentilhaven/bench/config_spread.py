"""The scenario ``config-spread``: how soon an accepted edit is in force."""

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
from lentilhaven.distribution.tree import WATCHERS, watch_key
from lentilhaven.membership.rendezvous import choose_owners
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables.tables import Tables
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.testbed import seeded
from lentilhaven.testbed.testbed_vm import TestbedVm

#: Edits whose spreading is timed when no size is given.
DEFAULT_SIZE = 120

#: Racing edits for each timed one, so that the full run makes 10,000.
RACING_PER_EDIT = 84

#: Seconds between two looks at the routers.
LOOK_INTERVAL = 0.005

#: Seconds after which an edit counts as not in force.
GIVE_UP = 30.0

#: Seconds for which the store is down.
OUTAGE = 8.0

VM_COUNT = 9


@attrs.define
class Spread:
    """
    What a run has seen.

    Attributes
    ----------
    testbed : Testbed
        The system.
    random : random.Random
        Source of chance.
    seconds : dict
        Seconds from acceptance to force everywhere, by kind of fault.
    highest : dict
        Highest version seen at each router, by its identity.
    reversions : int
        Versions seen to fall.
    """

    testbed: Testbed
    random: random.Random
    seconds: dict[str, list[float]] = attrs.field(factory=dict)
    highest: Counter[int] = attrs.field(factory=Counter)
    reversions: int = 0

    def look(self) -> int:
        """Return the lowest version that any router decides on."""
        lowest = None
        for vm in self.testbed.vms:
            version = vm.router.view.tables.version
            self.reversions += version < self.highest[id(vm.router)]
            self.highest[id(vm.router)] = version
            lowest = version if lowest is None else min(lowest, version)
        return lowest or 0

    async def time_edit(self, fault: str, index: int) -> None:
        """
        Make an edit, inject a fault at once, and wait until it is in force.

        Parameters
        ----------
        fault : str
            ``"none"``, ``"watcher"`` or ``"outage"``.
        index : int
            Number of the edit.
        """
        tables = self.edited(index)
        version = await self.testbed.apply(tables, f"edit-{index}")
        began = self.testbed.clock.monotonic()
        killed = await self.inject(fault)
        while self.look() < version:
            if self.testbed.clock.monotonic() - began > GIVE_UP:
                break
            await self.testbed.clock.sleep(LOOK_INTERVAL)
        taken = self.testbed.clock.monotonic() - began
        self.seconds.setdefault(fault, []).append(taken)
        await self.mend(killed)

    def edited(self, index: int) -> Tables:
        """Return the tables in force with one route changed."""
        newest = max(self.testbed.vms, key=lambda vm: vm.router.view.tables.version)
        tables = newest.router.view.tables
        first = attrs.evolve(tables.routes[0], deadline=10.0 + index % 50)
        return attrs.evolve(tables, routes=[first, *tables.routes[1:]])

    async def inject(self, fault: str) -> TestbedVm | None:
        """Inject a fault; return the VM that it killed."""
        if fault == "outage":
            self.testbed.store.faults.outage = True
        if fault != "watcher":
            return None
        place = self.random.choice(self.testbed.plan.data_centres)
        near = [vm for vm in self.testbed.vms if vm.data_centre == place]
        names = [vm.id for vm in near]
        watcher = choose_owners(watch_key(place), names, WATCHERS)[0]
        killed = next(vm for vm in near if vm.id == watcher)
        await self.testbed.kill_vm(killed)
        return killed

    async def mend(self, killed: TestbedVm | None) -> None:
        """Undo a fault and let the system settle for a random time."""
        clock = self.testbed.clock
        if self.testbed.store.faults.outage:
            await clock.sleep(OUTAGE)
            self.testbed.store.faults.outage = False
            await clock.sleep(3.0)
        if killed is not None:
            await clock.sleep(self.random.uniform(0.0, 4.0))
            port = int(killed.agent_url.rpartition(":")[2])
            await self.testbed.start_vm(killed.id, killed.data_centre, port)
            await clock.sleep(3.0)
        await clock.sleep(self.random.uniform(0.0, 3.0))

    async def differing_tables(self) -> int:
        """Return the number of routers whose tables differ from a naive reader's."""
        client = self.testbed.client
        head = (await read_head(client)).ok
        naive = (await read_tables(client, head)).ok
        return sum(vm.router.view.tables != naive for vm in self.testbed.vms)


def run_config_spread(options: ScenarioOptions) -> Report:
    """
    Time the spreading of edits under faults, and race operators.

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
    """Time edits with each kind of fault in turn, and return the figures."""
    plan = TestbedPlan(seed=seed, vm_count=VM_COUNT)
    async with open_testbed(plan) as testbed:
        spread = Spread(testbed, seeded(testbed, "config-spread"))
        await asyncio.sleep(3.0)
        for index in range(size):
            await spread.time_edit(("none", "watcher", "outage")[index % 3], index)
        await spread.time_edit("none", size)
        different = await spread.differing_tables()
    every = [it for seconds in spread.seconds.values() for it in seconds]
    figures = {
        "in_force_p50": observed(quantile(every, 0.5), "s"),
        "in_force_p99": at_most(quantile(every, 0.99), 2.0, "s"),
        "in_force_max": at_most(max(every), 6.0, "s"),
        "reversions": at_most(spread.reversions, 0, "versions"),
        "differ_from_naive": at_most(different, 0, "routers"),
        "timed_edits": at_least(len(every), size, "edits"),
    }
    for fault, seconds in sorted(spread.seconds.items()):
        figures[f"in_force_max_{fault}"] = observed(max(seconds), "s")
    return figures
