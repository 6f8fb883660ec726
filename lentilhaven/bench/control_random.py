"""The scenario ``control-random``: agents under random faults keep their promises."""

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
from lentilhaven.distribution.editing import edit_tables, read_current
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables.tables import Tables
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.network import STORE
from lentilhaven.testbed.testbed import seeded
from lentilhaven.testbed.testbed_vm import TestbedVm

#: Runs when no size is given.
DEFAULT_SIZE = 200

#: Faults and edits in each run.
STEPS = 14

#: Seconds within which all agents agree once every fault is mended.
SETTLE_TIME = 6.0

#: Seconds for which watches are silent before their history is compacted.
SILENCE = 3.0

#: Seconds between two looks at the versions.
LOOK_INTERVAL = 0.05


@attrs.define
class Run:
    """
    One run of a few agents.

    Attributes
    ----------
    testbed : Testbed
        The system.
    random : random.Random
        Source of chance.
    seen : dict
        Highest version seen, by identity of the agent or router.
    joining : dict
        Version that an agent must have when it is ready, by its identity.
    down : list of TestbedVm
        VMs that were killed.
    counts : Counter
        What happened, by name.
    """

    testbed: Testbed
    random: random.Random
    seen: dict[int, int] = attrs.field(factory=dict)
    joining: dict[int, int] = attrs.field(factory=dict)
    down: list[TestbedVm] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)

    async def look(self) -> None:
        """Compare the versions of all processes with earlier ones, for ever."""
        while True:
            for vm in self.testbed.vms:
                self.compare(id(vm.router), vm.router.view.tables.version)
                self.compare(id(vm.agent), vm.agent.tables.version)
                self.check_joined(vm)
            await self.testbed.clock.sleep(LOOK_INTERVAL)

    def compare(self, key: int, version: int) -> None:
        """Count a version that has fallen."""
        self.counts["reversions"] += version < self.seen.get(key, 0)
        self.seen[key] = version

    def check_joined(self, vm: TestbedVm) -> None:
        """Count an agent that is ready with older tables than its peers had."""
        if not vm.agent.ready or id(vm.agent) not in self.joining:
            return
        needed = self.joining.pop(id(vm.agent))
        self.counts["joined"] += 1
        self.counts["joined_too_old"] += vm.agent.tables.version < needed

    async def step(self) -> None:
        """Do one random thing."""
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
        action = self.random.choice(actions)
        self.counts[action.__name__] += 1
        await action()
        await self.testbed.clock.sleep(self.random.choice((0.0, 0.02, 0.5, 2.0)))

    async def edit(self) -> None:
        """Let two operators change one number each, at the same moment."""
        names = [f"{self.counts['edit']}-{side}" for side in "ab"]
        await asyncio.gather(*(self.edit_once(name) for name in names))

    async def edit_once(self, name: str) -> None:
        """Change the deadline of the first route."""
        deadline = self.random.uniform(1.0, 90.0)

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
        """Kill a VM, unless it is the last."""
        if len(self.testbed.vms) > 1:
            vm = self.random.choice(self.testbed.vms)
            await self.testbed.kill_vm(vm)
            self.down.append(vm)

    async def restart(self) -> None:
        """Start another process at the address of a killed VM."""
        if not self.down:
            return
        dead = self.down.pop(self.random.randrange(len(self.down)))
        cut = bool(self.testbed.network.blocked)
        held = [vm.agent.tables.version for vm in self.testbed.vms if vm.agent.ready]
        port = int(dead.agent_url.rpartition(":")[2])
        vm = await self.testbed.start_vm(dead.id, dead.data_centre, port)
        if not cut:
            self.joining[id(vm.agent)] = max(held, default=0)

    async def toggle_outage(self) -> None:
        """Begin or end an outage of the store."""
        faults = self.testbed.store.faults
        faults.outage = not faults.outage

    async def toggle_lost_answers(self) -> None:
        """Begin or end the loss of answers and requests."""
        faults = self.testbed.store.faults
        faults.lost_answer_rate = 0.3 - faults.lost_answer_rate
        faults.lost_request_rate = faults.lost_answer_rate / 2

    async def toggle_silent_watches(self) -> None:
        """Begin or end the silence of watches."""
        faults = self.testbed.store.faults
        faults.silent_watches = not faults.silent_watches

    async def toggle_stale_reads(self) -> None:
        """Begin or end reads that answer with what was before the last write."""
        faults = self.testbed.store.faults
        faults.stale_reads = not faults.stale_reads

    async def cut(self) -> None:
        """Cut some VMs off from the others, and sometimes from the store."""
        names = [vm.id for vm in self.testbed.vms]
        inside = {str(name) for name in names if self.random.random() < 0.5}
        outside = {str(name) for name in names} - inside
        if self.random.random() < 0.5:
            outside |= {STORE}
        self.testbed.network.cut(inside, outside)
        self.joining.clear()

    async def heal(self) -> None:
        """End all cuts."""
        self.testbed.network.heal()

    async def compact(self) -> None:
        """Compact the history away that silent watches have missed."""
        store = self.testbed.store
        store.faults.silent_watches = True
        await self.testbed.clock.sleep(SILENCE)
        await self.edit()
        store.compacted_before = store.version
        store.faults.silent_watches = False

    async def settle(self) -> None:
        """Mend everything, and compare all tables with a naive reader's."""
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
        while self.down:
            await self.restart()
        await self.testbed.clock.sleep(SETTLE_TIME)
        head, tables = (await read_current(self.testbed.client)).ok
        for vm in self.testbed.vms:
            held = vm.agent.holder
            differs = held.tables != tables or held.head.edit != head.edit
            self.counts["differ_from_naive"] += differs
            self.counts["routers_behind"] += vm.router.view.tables != tables
            self.counts["not_ready"] += not vm.agent.ready


def run_control_random(options: ScenarioOptions) -> Report:
    """
    Run agents under random faults, with one seed after the other.

    Parameters
    ----------
    options : ScenarioOptions
        First seed and number of runs.
    """
    VIOLATIONS.clear()
    size = options.size or DEFAULT_SIZE
    totals: Counter[str] = Counter()
    failed: list[int] = []
    for seed in range(options.seed, options.seed + size):
        counts = run_virtual(run_once(seed))
        totals += counts
        if any(counts[name] for name in PROMISES):
            failed.append(seed)
    figures = {name: at_most(totals[name], 0, "times") for name in PROMISES}
    figures["violations"] = at_most(sum(VIOLATIONS.values()), 0, "invariants")
    figures["runs"] = at_least(size, size, "runs")
    figures["first_failed_seed"] = observed(failed[0] if failed else -1, "seed")
    for name in ("edit", "kill", "joined", "cut", "compact", "toggle_outage"):
        figures[f"count_{name}"] = observed(totals[name], "times")
    return Report("control-random", options.seed, figures)


#: What must never happen.
PROMISES = (
    "reversions",
    "joined_too_old",
    "differ_from_naive",
    "routers_behind",
    "not_ready",
)


async def run_once(seed: int) -> Counter[str]:
    """Run a few agents with one seed and return what happened."""
    count = 2 + seed % 4
    plan = TestbedPlan(seed=seed, vm_count=count, replica_count=1, range_count=1)
    async with open_testbed(plan) as testbed:
        run = Run(testbed, seeded(testbed, "control-random"))
        async with running_tasks(run.look()):
            for _ in range(STEPS):
                await run.step()
            await run.settle()
            return run.counts
