"""The scenario ``journal-random``: random faults at every await, over many seeds."""

import asyncio
import random
from collections import Counter

import attrs

from lentilhaven.bench.faulty_store import FaultyStore
from lentilhaven.bench.figure import at_most, observed
from lentilhaven.bench.journal_cluster import IN_PROGRESS_LIMIT, JournalCluster
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.control.claim import ClaimOutcome
from lentilhaven.core.ids import VmId
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.core.ran import Ran
from lentilhaven.core.randomness import derive_random
from lentilhaven.idempotency import time_ordered_key
from lentilhaven.idempotency.dispatch import DispatchResult
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.virtual import run_virtual

#: Number of seeds if no size is given.
DEFAULT_SIZE = 2_000

#: Number of idempotency keys per seed.
KEY_COUNT = 12

#: Time during which faults are injected and calls begin, in seconds.
FAULT_DURATION = 30.0


@attrs.define
class Findings:
    """
    Results of one or more seeds.

    Attributes
    ----------
    counts : Counter
        Number of calls, faults, outcomes and violations by name.
    failing_seeds : list of int
        Seeds with a violation.
    """

    counts: Counter[str] = attrs.field(factory=Counter)
    failing_seeds: list[int] = attrs.field(factory=list)


async def run_seed(seed: int) -> Counter[str]:
    """
    Run one seed and return its counts.

    Parameters
    ----------
    seed : int
        Seed of all random draws.
    """
    rng = derive_random(seed, "journal-random")
    cluster = JournalCluster(rng, FaultyStore(ObjectStore(rng), rng))
    cluster.checks_keys = rng.random() < 0.25
    for index in range(rng.randint(2, 5)):
        cluster.add_vm(f"vm-{index + 1}")
    counts: Counter[str] = Counter()
    faults = asyncio.create_task(inject_faults(cluster, rng))
    keys = [make_key(cluster, rng, index) for index in range(KEY_COUNT)]
    callers = [call_repeatedly(cluster, rng, key, counts) for key in keys]
    calls_by_key = await asyncio.gather(*callers)
    await faults
    await wait_until_settled(cluster)
    for key, calls in zip(keys, calls_by_key, strict=True):
        await check_key(cluster, key, calls, counts)
    counts.update(cluster.fault_counts)
    counts["seeds whose endpoint checks keys"] += cluster.checks_keys
    counts["lost answers"] += cluster.store.lost_answer_count
    await stop_cluster(cluster)
    return counts


def make_key(cluster: JournalCluster, rng: random.Random, index: int) -> str:
    """Return a key that, with equal probability, contains the current time or not."""
    if rng.random() < 0.5:
        return f"issue-{index}"
    return time_ordered_key(cluster.clock.wall(), rng)


async def call_repeatedly(
    cluster: JournalCluster, rng: random.Random, key: str, counts: Counter[str]
) -> list[tuple[str, DispatchResult]]:
    """Make up to 6 calls with one key through random VMs, some concurrently."""
    calls: list[tuple[str, DispatchResult]] = []

    async def call_once() -> None:
        await asyncio.sleep(rng.uniform(0, FAULT_DURATION))
        vm = rng.choice(sorted(cluster.vms))
        body = "other" if rng.random() < 0.05 else "body"
        calls.append(await cluster.call(vm, key, body))
        counts["calls"] += 1

    await asyncio.gather(*(call_once() for _ in range(rng.randint(1, 6))))
    return calls


async def inject_faults(cluster: JournalCluster, rng: random.Random) -> None:
    """Inject faults one after another for `FAULT_DURATION`, then end all of them."""
    loop = asyncio.get_running_loop()
    end = loop.time() + FAULT_DURATION
    while loop.time() < end:
        await asyncio.sleep(rng.expovariate(1.0))
        fault_name, fault = rng.choice(FAULTS)
        cluster.fault_counts[fault_name] += 1
        await fault(cluster, rng, rng.choice(sorted(cluster.vms)))
    end_faults(cluster)


async def pause(cluster: JournalCluster, rng: random.Random, vm: VmId) -> None:
    """Start a pause of a VM, which ends after a random time."""
    running = cluster.vms[vm].running
    running.clear()
    loop = asyncio.get_running_loop()
    loop.call_later(rng.uniform(0.05, 15.0), running.set)


async def crash_agent(cluster: JournalCluster, rng: random.Random, vm: VmId) -> None:
    """Crash an agent and restart it at the same address."""
    await cluster.restart_agent(vm)


async def crash_router(cluster: JournalCluster, rng: random.Random, vm: VmId) -> None:
    """Crash a router, which loses its calls, and restart it."""
    await cluster.restart_router(vm)


async def partition(cluster: JournalCluster, rng: random.Random, vm: VmId) -> None:
    """Cut the link between two VMs, or restore all links."""
    if cluster.cut_links and rng.random() < 0.5:
        cluster.cut_links.clear()
        return
    cluster.cut_links.add(frozenset((vm, rng.choice(sorted(cluster.vms)))))


async def toggle_outage(cluster: JournalCluster, rng: random.Random, vm: VmId) -> None:
    """Start or end an outage of the store."""
    cluster.store.outage = not cluster.store.outage


async def change_loss_rates(
    cluster: JournalCluster, rng: random.Random, vm: VmId
) -> None:
    """Change the latency of the store and the share of answers that it loses."""
    cluster.store.lost_answer_rate = rng.choice([0.02, 0.3, 0.7])
    cluster.store.max_delay = rng.choice([0.01, 0.1, 2.0])


FAULTS = [
    ("pauses", pause),
    ("agent crashes", crash_agent),
    ("router crashes", crash_router),
    ("partitions", partition),
    ("outages", toggle_outage),
    ("losses", change_loss_rates),
]


def end_faults(cluster: JournalCluster) -> None:
    """End all faults."""
    cluster.cut_links.clear()
    cluster.message_loss = 0.0
    cluster.store.outage = False
    cluster.store.lost_answer_rate = 0.0
    cluster.store.max_delay = 0.01
    for vm in cluster.vms.values():
        vm.running.set()


async def wait_until_settled(cluster: JournalCluster) -> None:
    """Wait until every claim is settled, or its outcome counts as unknown."""
    for vm in cluster.vms.values():
        await vm.settler.wait_settled(60.0)
    await asyncio.sleep(2 * IN_PROGRESS_LIMIT)


async def check_key(
    cluster: JournalCluster,
    key: str,
    calls: list[tuple[str, DispatchResult]],
    counts: Counter[str],
) -> None:
    """Make a last call with a key and count violations and outcomes of the key."""
    vm = sorted(cluster.vms)[0]
    _, final_call = await cluster.call(vm, key, "body")
    counts["keys"] += 1
    counts["run twice"] += cluster.executions[key] > 1
    counts["false not-run"] += sum(
        answer.ran is Ran.NO and cluster.executions_by_request[request] > 0
        for request, answer in calls
    )
    outcome = final_call.refusal.outcome if final_call.refusal else None
    stuck = outcome in (ClaimOutcome.IN_PROGRESS, ClaimOutcome.UNAVAILABLE)
    counts["stuck"] += stuck
    counts["unknown"] += outcome is ClaimOutcome.UNKNOWN
    counts["run once"] += cluster.executions[key] == 1


async def stop_cluster(cluster: JournalCluster) -> None:
    """Stop all tasks that are still running."""
    for vm in cluster.vms.values():
        await vm.settler.close()
        await vm.node.journal.close()
    for task in [*cluster.tasks, *cluster.store.late_writes]:
        task.cancel()


def run_seeds(first: int, count: int) -> Findings:
    """
    Run consecutive seeds.

    Parameters
    ----------
    first, count : int
        First seed and number of seeds.
    """
    findings = Findings()
    for seed in range(first, first + count):
        before = sum(VIOLATIONS.values())
        counts = run_virtual(run_seed(seed))
        counts["broken invariants"] += sum(VIOLATIONS.values()) - before
        if any(counts[name] for name in VIOLATION_NAMES):
            findings.failing_seeds.append(seed)
        findings.counts.update(counts)
    return findings


#: Names of the counts that must be zero.
VIOLATION_NAMES = ("run twice", "false not-run", "broken invariants", "stuck")


def run_journal_random(options: ScenarioOptions) -> Report:
    """
    Run many seeds and report violations.

    Parameters
    ----------
    options : ScenarioOptions
        The size is the number of seeds.
    """
    size = options.size or DEFAULT_SIZE
    findings = run_seeds(options.seed * 1_000_000, size)
    counts = findings.counts
    figures = {name: at_most(counts[name], 0, "count") for name in VIOLATION_NAMES}
    figures["first-bad-seed"] = observed(
        min(findings.failing_seeds, default=-1), "seed"
    )
    other_names = sorted(set(counts) - set(VIOLATION_NAMES))
    figures |= {name: observed(counts[name], "count") for name in other_names}
    return Report("journal-random", options.seed, figures)
