"""The scenario ``failover-journal``: loss of a VM that owns shards and a lease."""

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
from lentilhaven.testbed.testbed import derive_testbed_random
from lentilhaven.testbed.testbed_vm import TestbedVm

#: Number of losses of each kind when no size is given.
DEFAULT_SIZE = 60

#: Maximum 95th percentile of the takeover times of the shards, and of those of the
#: lease, in seconds.
MAX_TAKEOVER_TIME = 3.0

#: Seconds between two attempts of one caller, and between two lease checks.
RETRY_INTERVAL = 0.05

#: Seconds after which waiting for a takeover ends.
TAKEOVER_TIMEOUT = 30.0


@attrs.define
class LossTrial:
    """
    Takeover times after one loss.

    Attributes
    ----------
    shards : list of float
        Seconds until a call to a shard of the lost VM succeeded, one per caller.
    lease : float
        Seconds until another VM held the lease.
    """

    shards: list[float] = attrs.field(factory=list)
    lease: float = TAKEOVER_TIMEOUT


async def run_trial(seed: int, silent: bool) -> LossTrial:
    """
    Lose one VM of nine and measure the time until its duties are taken over.

    Parameters
    ----------
    seed : int
        Seed of all random number generators.
    silent : bool
        Whether the VM is cut off from the network; otherwise its process ends.
    """
    plan = TestbedPlan(seed=seed, vm_count=9, replica_count=1, range_count=1)
    async with open_testbed(plan) as testbed:
        testbed.store.faults.delay = 0.004
        await testbed.clock.sleep(
            5.0 + derive_testbed_random(testbed, "moment").random()
        )
        victim = derive_testbed_random(testbed, "victim").choice(testbed.vms)
        others = [vm for vm in testbed.vms if vm is not victim]
        lease = make_lease(testbed, victim)
        await lease.step()
        renewal = asyncio.create_task(lease.maintain())
        leases = [make_lease(testbed, vm) for vm in others]
        async with running_tasks(*(it.maintain() for it in leases)):
            await testbed.clock.sleep(
                2.0 + derive_testbed_random(testbed, "phase").random()
            )
            renewal.cancel()
            if silent:
                names: set[str] = {vm.id for vm in others}
                testbed.network.partition({victim.id}, names)
            else:
                await testbed.kill_vm(victim)
            return await measure_takeover(testbed, victim.id, others, leases)


def make_lease(testbed: Testbed, vm: TestbedVm) -> Lease:
    """Return a VM's client of the trial lease."""
    return Lease(vm.agent.client, "leases/trial", vm.id, f"run-{vm.id}", testbed.clock)


async def measure_takeover(
    testbed: Testbed, victim: VmId, others: list[TestbedVm], leases: list[Lease]
) -> LossTrial:
    """Return the takeover times of a lost VM's shards and lease."""
    trial = LossTrial()
    began = testbed.clock.monotonic()
    members = [victim, *(vm.id for vm in others)]
    callers = (call_until_done(testbed, vm, victim, members) for vm in others)
    waits = await asyncio.gather(wait_for_lease(testbed, leases), *callers)
    trial.lease = waits[0] - began
    trial.shards = [wait - began for wait in waits[1:]]
    return trial


async def wait_for_lease(testbed: Testbed, leases: list[Lease]) -> float:
    """
    Wait until a client holds the lease, at most for `TAKEOVER_TIMEOUT`.

    Return the monotonic time at the end of the wait, in seconds.
    """
    for _ in range(round(TAKEOVER_TIMEOUT / RETRY_INTERVAL)):
        if any(lease.fencing_number() is not None for lease in leases):
            break
        await testbed.clock.sleep(RETRY_INTERVAL)
    return testbed.clock.monotonic()


async def call_until_done(
    testbed: Testbed, vm: TestbedVm, victim: VmId, members: list[VmId]
) -> float:
    """
    Call shards of the lost VM through another VM until a call succeeds.

    Return the monotonic time, in seconds, of the success or of the last attempt.
    """
    rng = derive_random(testbed.plan.seed, "caller", vm.id)
    for index in range(round(TAKEOVER_TIMEOUT / RETRY_INTERVAL)):
        while True:
            key = time_ordered_key(testbed.clock.wall(), rng)
            if owner_of(vm, key, members) == victim:
                break
        response = await post_once(testbed, vm.url, key, f"{vm.id}.{index}")
        if response.status == 200:
            break
        await testbed.clock.sleep(RETRY_INTERVAL)
    return testbed.clock.monotonic()


def owner_of(vm: TestbedVm, key: str, members: list[VmId]) -> VmId:
    """Return the VM that owned the shard of a key before the loss."""
    claim = ClaimRequest(
        WorkspaceId("depot"), RouteName("stock"), key, "", RequestId("")
    )
    shard = vm.agent.journal.journal.layout.locate(claim).shard
    return rank_members(f"journal/{shard}", members)[0]


def run_failover_journal(options: ScenarioOptions) -> Report:
    """
    Lose VMs that own shards and a lease, by a crash or by a network cut.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of losses of each kind.
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
            f"{name}-shard-p95": at_most(
                quantile(shards, 0.95), MAX_TAKEOVER_TIME, "s"
            ),
            f"{name}-shard-p50": observed(quantile(shards, 0.5), "s"),
            f"{name}-shard-max": observed(max(shards), "s"),
            f"{name}-lease-p95": at_most(
                quantile(leases, 0.95), MAX_TAKEOVER_TIME, "s"
            ),
            f"{name}-lease-max": observed(max(leases), "s"),
        }
    return Report("failover-journal", options.seed, figures)
