"""The scenario ``control-random``: distribution of the tables under random faults."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable

import attrs
from expression import Ok, Result

from lentilhaven.bench.figure import at_least, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.failure import Failure
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.core.tasks import running_tasks
from lentilhaven.distribution.editing import edit_tables, read_current_tables
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables.tables import Tables
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.network import STORE
from lentilhaven.testbed.testbed import derive_testbed_random
from lentilhaven.testbed.testbed_vm import TestbedVm

#: Number of runs if no size is given.
DEFAULT_SIZE = 200

#: Number of faults and edits in each run.
ACTION_COUNT = 14

#: Seconds within which all agents have the same tables after the faults end.
CONVERGENCE_TIME = 6.0

#: Seconds for which watches are silent before the watch history is compacted.
WATCH_SILENCE = 3.0

#: Seconds between two checks of the versions.
CHECK_INTERVAL = 0.05


@attrs.define
class ControlRun:
    """
    One run of a testbed under random faults.

    Attributes
    ----------
    testbed : Testbed
        Testbed with the VMs and the store.
    rng : random.Random
        Source of randomness.
    last_versions : dict
        Table version at the last check, by `id()` of the agent or router.
    required_versions : dict
        Minimum table version that a new agent must have when it becomes ready, by
        `id()` of the agent.
    killed_vms : list of TestbedVm
        Killed VMs that are not restarted yet.
    counts : Counter
        Number of actions and violations by name.
    """

    testbed: Testbed
    rng: random.Random
    last_versions: dict[int, int] = attrs.field(factory=dict)
    required_versions: dict[int, int] = attrs.field(factory=dict)
    killed_vms: list[TestbedVm] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)

    async def monitor_versions(self) -> None:
        """Check the table versions of all processes until cancelled."""
        while True:
            for vm in self.testbed.vms:
                self.record_version(id(vm.router), vm.router.view.tables.version)
                self.record_version(id(vm.agent), vm.agent.tables.version)
                self.check_joined(vm)
            await self.testbed.clock.sleep(CHECK_INTERVAL)

    def record_version(self, key: int, version: int) -> None:
        """Store the version of a process and count a reversion to an older one."""
        self.counts["reversions"] += version < self.last_versions.get(key, 0)
        self.last_versions[key] = version

    def check_joined(self, vm: TestbedVm) -> None:
        """Count an agent that became ready with older tables than its peers had."""
        if not vm.agent.ready or id(vm.agent) not in self.required_versions:
            return
        required = self.required_versions.pop(id(vm.agent))
        self.counts["joined"] += 1
        self.counts["joined_too_old"] += vm.agent.tables.version < required

    async def perform_random_action(self) -> None:
        """Perform a random action, counted by its method name, and wait."""
        actions: list[Callable[[], Awaitable[None]]] = [
            self.edit,
            self.edit,
            self.edit,
            self.kill,
            self.restart,
            self.toggle_outage,
            self.toggle_lost_answers,
            self.toggle_silent_watches,
            self.toggle_stale_reads,
            self.cut,
            self.heal,
            self.compact,
        ]
        action = self.rng.choice(actions)
        self.counts[action.__name__] += 1
        await action()
        await self.testbed.clock.sleep(self.rng.choice((0.0, 0.02, 0.5, 2.0)))

    async def edit(self) -> None:
        """Let two operators edit the same route concurrently."""
        names = [f"{self.counts['edit']}-{side}" for side in "ab"]
        await asyncio.gather(*(self.edit_deadline(name) for name in names))

    async def edit_deadline(self, name: str) -> None:
        """Set a random deadline of the first route."""
        deadline = self.rng.uniform(1.0, 90.0)

        def change(tables: Tables) -> Result[Tables, Failure]:
            first = attrs.evolve(tables.routes[0], deadline=deadline)
            return Ok(attrs.evolve(tables, routes=[first, *tables.routes[1:]]))

        client, clock = self.testbed.client, self.testbed.clock
        try:
            async with asyncio.timeout(3.0):
                await edit_tables(client, change, name, "operator", clock)
        except TimeoutError:
            self.counts["edits_given_up"] += 1

    async def kill(self) -> None:
        """Kill a VM unless it is the last one."""
        if len(self.testbed.vms) > 1:
            vm = self.rng.choice(self.testbed.vms)
            await self.testbed.kill_vm(vm)
            self.killed_vms.append(vm)

    async def restart(self) -> None:
        """
        Start a new VM at the address of a killed one.

        Unless the network is partitioned, its agent must have the newest tables of
        the ready agents when it becomes ready.
        """
        if not self.killed_vms:
            return
        killed = self.killed_vms.pop(self.rng.randrange(len(self.killed_vms)))
        cut = bool(self.testbed.network.blocked)
        held = [vm.agent.tables.version for vm in self.testbed.vms if vm.agent.ready]
        port = int(killed.agent_url.rpartition(":")[2])
        vm = await self.testbed.start_vm(killed.id, killed.data_centre, port)
        if not cut:
            self.required_versions[id(vm.agent)] = max(held, default=0)

    async def toggle_outage(self) -> None:
        """Start or end an outage of the store."""
        faults = self.testbed.store.faults
        faults.outage = not faults.outage

    async def toggle_lost_answers(self) -> None:
        """Start or stop losing requests to the store and their answers."""
        faults = self.testbed.store.faults
        faults.lost_answer_rate = 0.3 - faults.lost_answer_rate
        faults.lost_request_rate = faults.lost_answer_rate / 2

    async def toggle_silent_watches(self) -> None:
        """Start or stop silencing the watches of the store."""
        faults = self.testbed.store.faults
        faults.silent_watches = not faults.silent_watches

    async def toggle_stale_reads(self) -> None:
        """Start or stop answering reads with the values before the last write."""
        faults = self.testbed.store.faults
        faults.stale_reads = not faults.stale_reads

    async def cut(self) -> None:
        """Partition the VMs, and sometimes cut one part off from the store."""
        names = [vm.id for vm in self.testbed.vms]
        inside = {str(name) for name in names if self.rng.random() < 0.5}
        outside = {str(name) for name in names} - inside
        if self.rng.random() < 0.5:
            outside |= {STORE}
        self.testbed.network.partition(inside, outside)
        self.required_versions.clear()

    async def heal(self) -> None:
        """End all network partitions."""
        self.testbed.network.heal()

    async def compact(self) -> None:
        """Compact the watch history before silenced watches have received it."""
        store = self.testbed.store
        store.faults.silent_watches = True
        await self.testbed.clock.sleep(WATCH_SILENCE)
        await self.edit()
        store.compacted_before = store.version
        store.faults.silent_watches = False

    async def check_convergence(self) -> None:
        """
        End all faults, restart the killed VMs, and wait for `CONVERGENCE_TIME`.

        Then count the agents and routers whose tables differ from a direct read of
        the store, and the agents that are not ready.
        """
        store = self.testbed.store
        self.testbed.network.heal()
        store.faults = attrs.evolve(
            store.faults,
            outage=False,
            lost_answer_rate=0.0,
            lost_request_rate=0.0,
            silent_watches=False,
            stale_reads=False,
        )
        while self.killed_vms:
            await self.restart()
        await self.testbed.clock.sleep(CONVERGENCE_TIME)
        head, tables = (await read_current_tables(self.testbed.client)).ok
        for vm in self.testbed.vms:
            held = vm.agent.holder
            differs = held.tables != tables or held.head.edit != head.edit
            self.counts["differ_from_naive"] += differs
            self.counts["routers_behind"] += vm.router.view.tables != tables
            self.counts["not_ready"] += not vm.agent.ready


def run_control_random(options: ScenarioOptions) -> Report:
    """
    Run a testbed under random faults, with consecutive seeds.

    Parameters
    ----------
    options : ScenarioOptions
        First seed and number of runs.
    """
    VIOLATIONS.clear()
    size = options.size or DEFAULT_SIZE
    totals: Counter[str] = Counter()
    failing_seeds: list[int] = []
    for seed in range(options.seed, options.seed + size):
        counts = run_virtual(run_once(seed))
        totals += counts
        if any(counts[name] for name in VIOLATION_NAMES):
            failing_seeds.append(seed)
    figures = {name: at_most(totals[name], 0, "times") for name in VIOLATION_NAMES}
    figures["violations"] = at_most(sum(VIOLATIONS.values()), 0, "invariants")
    figures["runs"] = at_least(size, size, "runs")
    figures["first_failed_seed"] = observed(
        failing_seeds[0] if failing_seeds else -1, "seed"
    )
    for name in ("edit", "kill", "joined", "cut", "compact", "toggle_outage"):
        figures[f"count_{name}"] = observed(totals[name], "times")
    return Report("control-random", options.seed, figures)


#: Names of the counts that must be zero.
VIOLATION_NAMES = (
    "reversions",
    "joined_too_old",
    "differ_from_naive",
    "routers_behind",
    "not_ready",
)


async def run_once(seed: int) -> Counter[str]:
    """Run one seed and return its counts."""
    count = 2 + seed % 4
    plan = TestbedPlan(seed=seed, vm_count=count, replica_count=1, range_count=1)
    async with open_testbed(plan) as testbed:
        run = ControlRun(testbed, derive_testbed_random(testbed, "control-random"))
        async with running_tasks(run.monitor_versions()):
            for _ in range(ACTION_COUNT):
                await run.perform_random_action()
            await run.check_convergence()
            return run.counts
