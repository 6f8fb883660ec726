"""The scenario ``leaving``: what leaves gets no new work after 3 s."""

import asyncio
import random
from collections.abc import Callable

import aiohttp
import attrs

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.core.tasks import running_tasks
from lentilhaven.objects.vm import VmState
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.testbed import seeded
from lentilhaven.testbed.testbed_vm import TestbedVm

#: Leaves of each kind when no size is given.
DEFAULT_SIZE = 4

#: Seconds after which what leaves must get no new work.
GRACE = 3.0

#: Seconds for which it is observed after that.
OBSERVED = 3.0

#: Seconds by which the platform's list is old.
LIST_LAG = 4.0

#: Seconds between two looks of the balancer at a router's readiness.
BALANCER_INTERVAL = 0.25

#: Callers that ask one answer after the other.
CALLERS = 4

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class Traffic:
    """
    Callers behind a balancer that follows the routers' readiness.

    Attributes
    ----------
    testbed : Testbed
        The system.
    random : random.Random
        Source of chance.
    ready : list of TestbedVm
        VMs to which new requests go.
    sent : dict
        Requests sent so far, by VM.
    answered, failed : int
        Requests that were answered and that were not.
    """

    testbed: Testbed
    random: random.Random
    ready: list[TestbedVm] = attrs.field(factory=list)
    sent: dict[str, int] = attrs.field(factory=dict)
    answered: int = 0
    failed: int = 0

    async def balance(self) -> None:
        """Follow the readiness of all routers, for ever."""
        while True:
            self.ready = [vm for vm in self.testbed.vms if await self.is_ready(vm)]
            await self.testbed.clock.sleep(BALANCER_INTERVAL)

    async def is_ready(self, vm: TestbedVm) -> bool:
        """Return whether a router says that it is ready."""
        try:
            async with self.testbed.session.get(f"{vm.url}/readyz") as response:
                return response.status == 200
        except LOST:
            return False

    async def call(self) -> None:
        """Ask one answer after the other, for ever."""
        body = {"model": self.testbed.plan.model, "prompt": "a b", "max_tokens": 6}
        while True:
            await self.testbed.clock.sleep(self.random.uniform(0.1, 0.5))
            if not self.ready:
                continue
            vm = self.random.choice(self.ready)
            self.sent[vm.id] = self.sent.get(vm.id, 0) + 1
            await self.send(vm, body)

    async def send(self, vm: TestbedVm, body: dict) -> None:
        """Send one request and count its end."""
        url = f"{vm.url}/v1/completions"
        try:
            async with self.testbed.session.post(
                url, json=body, headers=self.testbed.headers
            ) as response:
                await response.read()
                self.answered += response.status == 200
                self.failed += response.status != 200
        except LOST:
            self.failed += 1


@attrs.define
class Leaves:
    """
    The leaves of one run.

    Attributes
    ----------
    traffic : Traffic
        The callers.
    late : dict
        New requests sent after the grace, by kind of leave.
    early : dict
        New requests sent within the grace, by kind of leave.
    """

    traffic: Traffic
    late: dict[str, int] = attrs.field(factory=dict)
    early: dict[str, int] = attrs.field(factory=dict)

    @property
    def testbed(self) -> Testbed:
        """Return the system."""
        return self.traffic.testbed

    async def observe(self, kind: str, count: Callable[[], int]) -> None:
        """Count what is sent within the grace and after it."""
        before = count()
        await self.testbed.clock.sleep(GRACE)
        after_grace = count()
        await self.testbed.clock.sleep(OBSERVED)
        self.early[kind] = self.early.get(kind, 0) + after_grace - before
        self.late[kind] = self.late.get(kind, 0) + count() - after_grace

    def new_streams(self, endpoint: EndpointId) -> int:
        """Return the new streams that an engine was asked for."""
        engine = self.testbed.engines[endpoint]
        return engine.new_streams + engine.refused_streams

    async def leave_by_edit(self, endpoint: EndpointId, index: int) -> None:
        """Let an operator say in the pool table that an endpoint leaves."""
        await self.edit_leaving(endpoint, True, f"leave-{index}")
        await self.observe("edit", lambda: self.new_streams(endpoint))
        await self.edit_leaving(endpoint, False, f"return-{index}")
        await self.testbed.clock.sleep(GRACE)

    async def edit_leaving(
        self, endpoint: EndpointId, leaving: bool, edit: str
    ) -> None:
        """Put tables in force in which an endpoint leaves, or not."""
        tables = self.testbed.vms[0].agent.tables
        pools = [
            attrs.evolve(
                pool,
                endpoints=[
                    attrs.evolve(spec, leaving=leaving) if spec.id == endpoint else spec
                    for spec in pool.endpoints
                ],
            )
            for pool in tables.pools
        ]
        await self.testbed.apply(attrs.evolve(tables, pools=pools), edit)

    async def leave_by_report(self, endpoint: EndpointId) -> None:
        """Let an endpoint say in its own load report that it leaves."""
        engine = self.testbed.engines[endpoint]
        engine.leaving = True
        await self.observe("report", lambda: self.new_streams(endpoint))
        engine.leaving = False
        await self.testbed.clock.sleep(GRACE)

    async def leave_by_list(self, vm: TestbedVm) -> None:
        """Let the platform say, late, that a VM leaves."""
        self.list_state(vm, VmState.LEAVING)
        await self.testbed.clock.sleep(LIST_LAG)
        await self.observe("vm", lambda: self.traffic.sent.get(vm.id, 0))
        self.late["duty"] = self.late.get("duty", 0) + self.count_believers(vm)
        self.list_state(vm, VmState.LIVE)
        await self.testbed.clock.sleep(LIST_LAG + GRACE)

    def list_state(self, vm: TestbedVm, state: VmState) -> None:
        """Change what the platform's list says of a VM."""
        store = self.testbed.store
        store.vms = [
            attrs.evolve(it, state=state) if it.id == vm.id else it for it in store.vms
        ]
        store.now()

    def count_believers(self, vm: TestbedVm) -> int:
        """Return the number of agents that would give a VM a duty."""
        return sum(vm.id in it.agent.members.live_ids() for it in self.testbed.vms)


def run_leaving(options: ScenarioOptions) -> Report:
    """
    Let endpoints and VMs leave under traffic, with the list lagging.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of leaves of each kind.
    """
    VIOLATIONS.clear()
    figures = run_virtual(let_leave(options.seed, options.size or DEFAULT_SIZE))
    figures["violations"] = at_most(sum(VIOLATIONS.values()), 0, "invariants")
    return Report("leaving", options.seed, figures)


async def let_leave(seed: int, size: int) -> dict[str, Figure]:
    """Run all leaves and return the figures."""
    plan = TestbedPlan(seed=seed, vm_count=6, replica_count=3)
    async with open_testbed(plan) as testbed:
        testbed.store.faults.vms_lag = LIST_LAG
        traffic = Traffic(testbed, seeded(testbed, "leaving"))
        leaves = Leaves(traffic)
        calls = (traffic.call() for _ in range(CALLERS))
        async with running_tasks(traffic.balance(), *calls):
            await asyncio.sleep(LIST_LAG + GRACE)
            names = sorted(testbed.engines)
            for index in range(size):
                await leaves.leave_by_edit(traffic.random.choice(names), index)
                await leaves.leave_by_report(traffic.random.choice(names))
                await leaves.leave_by_list(traffic.random.choice(testbed.vms))
    figures = {
        f"late_{kind}": at_most(leaves.late[kind], 0, "requests")
        for kind in sorted(leaves.late)
    }
    figures |= {
        f"within_grace_{kind}": observed(leaves.early[kind], "requests")
        for kind in sorted(leaves.early)
    }
    figures["answered"] = at_least(traffic.answered, 100 * size, "requests")
    figures["failed"] = at_most(traffic.failed, 0, "requests")
    return figures
