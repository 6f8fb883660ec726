"""The scenario ``journal-random``: random faults at every await, many seeds."""

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
from lentilhaven.idempotency.dispatch import Dispatched
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.virtual import run_virtual

#: Seeds run when no size is given.
DEFAULT_SIZE = 2_000

#: Keys of one seed, and the time over which faults go on, in seconds.
KEY_COUNT = 12
FAULT_TIME = 30.0


@attrs.define
class Findings:
    """
    What one or more seeds showed.

    Attributes
    ----------
    counts : Counter
        Counts by name.
    bad_seeds : list of int
        Seeds with a violation.
    """

    counts: Counter[str] = attrs.field(factory=Counter)
    bad_seeds: list[int] = attrs.field(factory=list)


async def run_seed(seed: int) -> Counter[str]:
    """
    Run one seed and return its counts.

    Parameters
    ----------
    seed : int
        Seed of everything.
    """
    source = derive_random(seed, "journal-random")
    cluster = JournalCluster(source, FaultyStore(ObjectStore(source), source))
    cluster.checks_keys = source.random() < 0.25
    for index in range(source.randint(2, 5)):
        cluster.add_vm(f"vm-{index + 1}")
    counts: Counter[str] = Counter()
    faults = asyncio.create_task(make_faults(cluster, source))
    keys = [make_key(cluster, source, index) for index in range(KEY_COUNT)]
    callers = [call_repeatedly(cluster, source, key, counts) for key in keys]
    answers = await asyncio.gather(*callers)
    await faults
    await let_rest(cluster)
    for key, said in zip(keys, answers, strict=True):
        await judge_key(cluster, key, said, counts)
    counts.update(cluster.events)
    counts["seeds whose endpoint checks keys"] += cluster.checks_keys
    counts["lost answers"] += cluster.store.lost
    await stop(cluster)
    return counts


def make_key(cluster: JournalCluster, source: random.Random, index: int) -> str:
    """Return a key that carries its time, or one that does not."""
    if source.random() < 0.5:
        return f"issue-{index}"
    return time_ordered_key(cluster.clock.wall(), source)


async def call_repeatedly(
    cluster: JournalCluster, source: random.Random, key: str, counts: Counter[str]
) -> list[tuple[str, Dispatched]]:
    """Call with one key at several VMs, some calls at the same time."""
    said: list[tuple[str, Dispatched]] = []

    async def call_once() -> None:
        await asyncio.sleep(source.uniform(0, FAULT_TIME))
        vm = source.choice(sorted(cluster.vms))
        body = "other" if source.random() < 0.05 else "body"
        said.append(await cluster.call(vm, key, body))
        counts["calls"] += 1

    await asyncio.gather(*(call_once() for _ in range(source.randint(1, 6))))
    return said


async def make_faults(cluster: JournalCluster, source: random.Random) -> None:
    """Inject one fault after another, then heal everything."""
    loop = asyncio.get_running_loop()
    end = loop.time() + FAULT_TIME
    while loop.time() < end:
        await asyncio.sleep(source.expovariate(1.0))
        kind, fault = source.choice(FAULTS)
        cluster.events[kind] += 1
        await fault(cluster, source, source.choice(sorted(cluster.vms)))
    heal(cluster)


async def pause(cluster: JournalCluster, source: random.Random, vm: VmId) -> None:
    """Pause a VM for a while, or wake it."""
    running = cluster.vms[vm].running
    running.clear()
    loop = asyncio.get_running_loop()
    loop.call_later(source.uniform(0.05, 15.0), running.set)


async def crash_agent(cluster: JournalCluster, source: random.Random, vm: VmId) -> None:
    """Restart an agent at its address."""
    await cluster.restart_agent(vm)


async def crash_router(
    cluster: JournalCluster, source: random.Random, vm: VmId
) -> None:
    """Restart a router; its calls are lost with it."""
    await cluster.restart_router(vm)


async def partition(cluster: JournalCluster, source: random.Random, vm: VmId) -> None:
    """Cut a VM off from another, or heal all cuts."""
    if cluster.cut and source.random() < 0.5:
        cluster.cut.clear()
        return
    cluster.cut.add(frozenset((vm, source.choice(sorted(cluster.vms)))))


async def switch_outage(
    cluster: JournalCluster, source: random.Random, vm: VmId
) -> None:
    """Begin or end an outage of the store."""
    cluster.store.outage = not cluster.store.outage


async def switch_losses(
    cluster: JournalCluster, source: random.Random, vm: VmId
) -> None:
    """Change how many answers the store loses and how slow it is."""
    cluster.store.lost_rate = source.choice([0.02, 0.3, 0.7])
    cluster.store.slowness = source.choice([0.01, 0.1, 2.0])


FAULTS = [
    ("pauses", pause),
    ("agent crashes", crash_agent),
    ("router crashes", crash_router),
    ("partitions", partition),
    ("outages", switch_outage),
    ("losses", switch_losses),
]


def heal(cluster: JournalCluster) -> None:
    """End every fault."""
    cluster.cut.clear()
    cluster.message_loss = 0.0
    cluster.store.outage = False
    cluster.store.lost_rate = 0.0
    cluster.store.slowness = 0.01
    for vm in cluster.vms.values():
        vm.running.set()


async def let_rest(cluster: JournalCluster) -> None:
    """Wait until nothing is under way and every claim is settled or overdue."""
    for vm in cluster.vms.values():
        await vm.settler.wait_settled(60.0)
    await asyncio.sleep(2 * IN_PROGRESS_LIMIT)


async def judge_key(
    cluster: JournalCluster,
    key: str,
    said: list[tuple[str, Dispatched]],
    counts: Counter[str],
) -> None:
    """Count what was wrong with the answers to one key."""
    vm = sorted(cluster.vms)[0]
    _, last = await cluster.call(vm, key, "body")
    counts["keys"] += 1
    counts["run twice"] += cluster.runs[key] > 1
    counts["false not-run"] += sum(
        answer.ran is Ran.NO and cluster.run_by[request] > 0 for request, answer in said
    )
    outcome = last.refusal.outcome if last.refusal else None
    stuck = outcome in (ClaimOutcome.IN_PROGRESS, ClaimOutcome.UNAVAILABLE)
    counts["stuck"] += stuck
    counts["unknown"] += outcome is ClaimOutcome.UNKNOWN
    counts["run once"] += cluster.runs[key] == 1


async def stop(cluster: JournalCluster) -> None:
    """Stop everything that is left."""
    for vm in cluster.vms.values():
        await vm.settler.close()
        await vm.node.journal.close()
    for task in [*cluster.tasks, *cluster.store.late]:
        task.cancel()


def run_seeds(first: int, count: int) -> Findings:
    """
    Run consecutive seeds.

    Parameters
    ----------
    first, count : int
        The first seed and how many.
    """
    findings = Findings()
    for seed in range(first, first + count):
        before = sum(VIOLATIONS.values())
        counts = run_virtual(run_seed(seed))
        counts["broken invariants"] += sum(VIOLATIONS.values()) - before
        if any(counts[name] for name in WRONG):
            findings.bad_seeds.append(seed)
        findings.counts.update(counts)
    return findings


#: Counts that must be zero.
WRONG = ("run twice", "false not-run", "broken invariants", "stuck")


def run_journal_random(options: ScenarioOptions) -> Report:
    """
    Run many seeds and report what went wrong.

    Parameters
    ----------
    options : ScenarioOptions
        Its size is the number of seeds.
    """
    size = options.size or DEFAULT_SIZE
    findings = run_seeds(options.seed * 1_000_000, size)
    counts = findings.counts
    figures = {name: at_most(counts[name], 0, "count") for name in WRONG}
    figures["first-bad-seed"] = observed(min(findings.bad_seeds, default=-1), "seed")
    others = sorted(set(counts) - set(WRONG))
    figures |= {name: observed(counts[name], "count") for name in others}
    return Report("journal-random", options.seed, figures)
