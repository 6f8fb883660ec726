"""The scenario ``failover-journal``: a VM that owns shards and a lease is lost."""

import asyncio

import attrs

from lentilhaven.bench.figure import Figure, at_most, observed
from lentilhaven.bench.posting_caller import post_once
from lentilhaven.bench.quantiles import quantile
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.control.claim import ClaimRequest
from lentilhaven.core.ids import RequestId, RouteName, VmId, WorkspaceId
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.tasks import running_tasks
from lentilhaven.idempotency import time_ordered_key
from lentilhaven.leases import Lease
from lentilhaven.membership import rank_members
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.testbed import seeded
from lentilhaven.testbed.testbed_vm import TestbedVm

#: Losses of a VM when no size is given.
DEFAULT_SIZE = 60

#: Goal for each duty, in seconds.
GOAL = 3.0

#: Seconds between two tries of one caller.
TRY_INTERVAL = 0.05

#: Seconds after which a duty counts as never taken over.
GIVE_UP = 30.0


@attrs.define
class Trial:
    """
    What one loss has shown.

    Attributes
    ----------
    shards : list of float
        Seconds until a call to a shard of the lost VM succeeded, by caller.
    lease : float
        Seconds until another VM held the lease.
    """

    shards: list[float] = attrs.field(factory=list)
    lease: float = GIVE_UP


async def run_trial(seed: int, silent: bool) -> Trial:
    """
    Lose one VM of nine and measure until its duties work again.

    Parameters
    ----------
    seed : int
        Seed of everything.
    silent : bool
        Whether the VM goes silent; otherwise its process ends.
    """
    plan = TestbedPlan(seed=seed, vm_count=9, replica_count=1, range_count=1)
    async with open_testbed(plan) as testbed:
        testbed.store.faults.delay = 0.004
        await testbed.clock.sleep(5.0 + seeded(testbed, "moment").random())
        victim = seeded(testbed, "victim").choice(testbed.vms)
        others = [vm for vm in testbed.vms if vm is not victim]
        lease = make_lease(testbed, victim)
        await lease.step()
        keeper = asyncio.create_task(lease.keep())
        leases = [make_lease(testbed, vm) for vm in others]
        async with running_tasks(*(it.keep() for it in leases)):
            await testbed.clock.sleep(2.0 + seeded(testbed, "phase").random())
            keeper.cancel()
            if silent:
                names: set[str] = {vm.id for vm in others}
                testbed.network.cut({victim.id}, names)
            else:
                await testbed.kill_vm(victim)
            return await measure(testbed, victim.id, others, leases)


def make_lease(testbed: Testbed, vm: TestbedVm) -> Lease:
    """Return a VM's side of the lease."""
    return Lease(vm.agent.client, "leases/trial", vm.id, f"run-{vm.id}", testbed.clock)


async def measure(
    testbed: Testbed, victim: VmId, others: list[TestbedVm], leases: list[Lease]
) -> Trial:
    """Return how long the shards and the lease of a lost VM took to work again."""
    trial = Trial()
    began = testbed.clock.monotonic()
    members = [victim, *(vm.id for vm in others)]
    callers = (call_until_done(testbed, vm, victim, members) for vm in others)
    waits = await asyncio.gather(wait_for_lease(testbed, leases), *callers)
    trial.lease = waits[0] - began
    trial.shards = [wait - began for wait in waits[1:]]
    return trial


async def wait_for_lease(testbed: Testbed, leases: list[Lease]) -> float:
    """Return when one of the leases is held."""
    for _ in range(round(GIVE_UP / TRY_INTERVAL)):
        if any(lease.fence() is not None for lease in leases):
            break
        await testbed.clock.sleep(TRY_INTERVAL)
    return testbed.clock.monotonic()


async def call_until_done(
    testbed: Testbed, vm: TestbedVm, victim: VmId, members: list[VmId]
) -> float:
    """Return when a call through one VM to a shard of the lost one succeeded."""
    source = derive_random(testbed.plan.seed, "caller", vm.id)
    for index in range(round(GIVE_UP / TRY_INTERVAL)):
        while True:
            key = time_ordered_key(testbed.clock.wall(), source)
            if owner_of(vm, key, members) == victim:
                break
        answer = await post_once(testbed, vm.url, key, f"{vm.id}.{index}")
        if answer.status == 200:
            break
        await testbed.clock.sleep(TRY_INTERVAL)
    return testbed.clock.monotonic()


def owner_of(vm: TestbedVm, key: str, members: list[VmId]) -> VmId:
    """Return the VM that owned a key's shard before the loss."""
    claim = ClaimRequest(
        WorkspaceId("depot"), RouteName("stock"), key, "", RequestId("")
    )
    shard = vm.agent.journal.journal.layout.place(claim).shard
    return rank_members(f"journal/{shard}", members)[0]


def run_failover_journal(options: ScenarioOptions) -> Report:
    """
    Lose VMs that own shards and a lease, by a crash or by silence.

    Parameters
    ----------
    options : ScenarioOptions
        Its size is the number of losses.
    """
    size = options.size or DEFAULT_SIZE
    figures: dict[str, Figure] = {}
    for name, silent in (("crash", False), ("silence", True)):
        trials = [
            run_virtual(run_trial(options.seed * 1_000 + index, silent))
            for index in range(size)
        ]
        shards = [wait for trial in trials for wait in trial.shards]
        leases = [trial.lease for trial in trials]
        figures |= {
            f"{name}-shard-p95": at_most(quantile(shards, 0.95), GOAL, "s"),
            f"{name}-shard-p50": observed(quantile(shards, 0.5), "s"),
            f"{name}-shard-max": observed(max(shards), "s"),
            f"{name}-lease-p95": at_most(quantile(leases, 0.95), GOAL, "s"),
            f"{name}-lease-max": observed(max(leases), "s"),
        }
    return Report("failover-journal", options.seed, figures)
