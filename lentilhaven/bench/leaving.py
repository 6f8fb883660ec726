"""The scenario ``leaving``: no new work for leaving endpoints and VMs after 3 s."""

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
from lentilhaven.testbed.testbed import derive_testbed_random
from lentilhaven.testbed.testbed_vm import TestbedVm

#: Number of departures of each kind when no size is given.
DEFAULT_SIZE = 4

#: Seconds after which a leaving endpoint or VM must get no new work.
GRACE_PERIOD = 3.0

#: Seconds of observation after the grace period.
OBSERVATION_TIME = 3.0

#: Seconds after which a change shows in the platform's list of VMs.
LIST_LAG = 4.0

#: Seconds between two checks of the routers' readiness by the balancer.
BALANCER_INTERVAL = 0.25

#: Number of concurrent callers.
CALLERS = 4

CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class Traffic:
    """
    Callers that send requests through a load balancer.

    The balancer selects VMs by the readiness of their routers.

    Attributes
    ----------
    testbed : Testbed
        System under test.
    rng : random.Random
        Source of random numbers.
    ready : list of TestbedVm
        VMs to which the balancer sends new requests.
    sent : dict
        Number of requests sent so far, by VM.
    answered, failed : int
        Number of requests that succeeded and that failed.
    """

    testbed: Testbed
    rng: random.Random
    ready: list[TestbedVm] = attrs.field(factory=list)
    sent: dict[str, int] = attrs.field(factory=dict)
    answered: int = 0
    failed: int = 0

    async def follow_readiness(self) -> None:
        """Update `ready` from the readiness of all routers until cancelled."""
        while True:
            self.ready = [vm for vm in self.testbed.vms if await self.is_ready(vm)]
            await self.testbed.clock.sleep(BALANCER_INTERVAL)

    async def is_ready(self, vm: TestbedVm) -> bool:
        """Return whether a router reports that it is ready."""
        try:
            async with self.testbed.session.get(f"{vm.url}/readyz") as response:
                return response.status == 200
        except CONNECTION_ERRORS:
            return False

    async def call_repeatedly(self) -> None:
        """Send one request after another until cancelled."""
        body = {"model": self.testbed.plan.model, "prompt": "a b", "max_tokens": 6}
        while True:
            await self.testbed.clock.sleep(self.rng.uniform(0.1, 0.5))
            if not self.ready:
                continue
            vm = self.rng.choice(self.ready)
            self.sent[vm.id] = self.sent.get(vm.id, 0) + 1
            await self.send(vm, body)

    async def send(self, vm: TestbedVm, body: dict) -> None:
        """Send one request and count its outcome."""
        url = f"{vm.url}/v1/completions"
        try:
            async with self.testbed.session.post(
                url, json=body, headers=self.testbed.headers
            ) as response:
                await response.read()
                self.answered += response.status == 200
                self.failed += response.status != 200
        except CONNECTION_ERRORS:
            self.failed += 1


@attrs.define
class LeaveMeasurement:
    """
    New work given to leaving endpoints and VMs in one run.

    Attributes
    ----------
    traffic : Traffic
        Callers and balancer.
    late : dict
        Number of new requests or streams after the grace period, by kind of
        departure: ``"edit"``, ``"report"`` or ``"vm"``; ``"duty"`` counts agents that
        still count a leaving VM as live.
    early : dict
        Number of new requests or streams within the grace period, by kind of
        departure.
    """

    traffic: Traffic
    late: dict[str, int] = attrs.field(factory=dict)
    early: dict[str, int] = attrs.field(factory=dict)

    @property
    def testbed(self) -> Testbed:
        """Return the system under test."""
        return self.traffic.testbed

    async def observe(self, kind: str, count: Callable[[], int]) -> None:
        """
        Add the requests within the grace period to `early`, and later ones to `late`.

        Parameters
        ----------
        kind : str
            Kind of departure.
        count : callable
            Returns the number of requests or streams sent so far.
        """
        before = count()
        await self.testbed.clock.sleep(GRACE_PERIOD)
        after_grace = count()
        await self.testbed.clock.sleep(OBSERVATION_TIME)
        self.early[kind] = self.early.get(kind, 0) + after_grace - before
        self.late[kind] = self.late.get(kind, 0) + count() - after_grace

    def new_streams(self, endpoint: EndpointId) -> int:
        """Return the number of new streams requested from an engine, refused or not."""
        engine = self.testbed.engines[endpoint]
        return engine.new_streams + engine.refused_streams

    async def leave_by_edit(self, endpoint: EndpointId, index: int) -> None:
        """Mark an endpoint as leaving by an operator's edit of the pool table."""
        await self.edit_leaving(endpoint, True, f"leave-{index}")
        await self.observe("edit", lambda: self.new_streams(endpoint))
        await self.edit_leaving(endpoint, False, f"return-{index}")
        await self.testbed.clock.sleep(GRACE_PERIOD)

    async def edit_leaving(
        self, endpoint: EndpointId, leaving: bool, edit: str
    ) -> None:
        """Apply tables in which an endpoint is marked as leaving, or not."""
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
        """Let an endpoint report in its own load report that it is leaving."""
        engine = self.testbed.engines[endpoint]
        engine.leaving = True
        await self.observe("report", lambda: self.new_streams(endpoint))
        engine.leaving = False
        await self.testbed.clock.sleep(GRACE_PERIOD)

    async def leave_by_list(self, vm: TestbedVm) -> None:
        """Let the platform's list show, with its lag, that a VM is leaving."""
        self.set_listed_state(vm, VmState.LEAVING)
        await self.testbed.clock.sleep(LIST_LAG)
        await self.observe("vm", lambda: self.traffic.sent.get(vm.id, 0))
        self.late["duty"] = self.late.get("duty", 0) + self.count_live_views(vm)
        self.set_listed_state(vm, VmState.LIVE)
        await self.testbed.clock.sleep(LIST_LAG + GRACE_PERIOD)

    def set_listed_state(self, vm: TestbedVm, state: VmState) -> None:
        """Set the state of a VM in the platform's list."""
        store = self.testbed.store
        store.vms = [
            attrs.evolve(it, state=state) if it.id == vm.id else it for it in store.vms
        ]
        # Records the change in the history from which the lagging list is read.
        store.observe_vms()

    def count_live_views(self, vm: TestbedVm) -> int:
        """Return how many agents count a VM as live, and so as able to own duties."""
        return sum(vm.id in it.agent.members.live_ids() for it in self.testbed.vms)


def run_leaving(options: ScenarioOptions) -> Report:
    """
    Let endpoints and VMs leave under traffic while the platform's list lags.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of departures of each kind.
    """
    VIOLATIONS.clear()
    figures = run_virtual(measure_leaves(options.seed, options.size or DEFAULT_SIZE))
    figures["violations"] = at_most(sum(VIOLATIONS.values()), 0, "invariants")
    return Report("leaving", options.seed, figures)


async def measure_leaves(seed: int, size: int) -> dict[str, Figure]:
    """Run all departures and return the figures."""
    plan = TestbedPlan(seed=seed, vm_count=6, replica_count=3)
    async with open_testbed(plan) as testbed:
        testbed.store.faults.vms_lag = LIST_LAG
        traffic = Traffic(testbed, derive_testbed_random(testbed, "leaving"))
        measurement = LeaveMeasurement(traffic)
        calls = (traffic.call_repeatedly() for _ in range(CALLERS))
        async with running_tasks(traffic.follow_readiness(), *calls):
            await asyncio.sleep(LIST_LAG + GRACE_PERIOD)
            names = sorted(testbed.engines)
            for index in range(size):
                await measurement.leave_by_edit(traffic.rng.choice(names), index)
                await measurement.leave_by_report(traffic.rng.choice(names))
                await measurement.leave_by_list(traffic.rng.choice(testbed.vms))
    figures = {
        f"late_{kind}": at_most(measurement.late[kind], 0, "requests")
        for kind in sorted(measurement.late)
    }
    figures |= {
        f"within_grace_{kind}": observed(measurement.early[kind], "requests")
        for kind in sorted(measurement.early)
    }
    figures["answered"] = at_least(traffic.answered, 100 * size, "requests")
    figures["failed"] = at_most(traffic.failed, 0, "requests")
    return figures
