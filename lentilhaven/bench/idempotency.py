"""The scenario ``idempotency``: many non-idempotent calls with faults."""

import asyncio
import random
from collections import Counter

import attrs

from lentilhaven.bench.figure import Figure, at_most, observed
from lentilhaven.bench.posting_caller import (
    MAX_TRIES,
    PostingAnswer,
    post_until_final,
)
from lentilhaven.bench.quantiles import quantile
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.ids import RouteName
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.core.randomness import derive_random
from lentilhaven.idempotency import time_ordered_key
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed

#: Calls made when no size is given.
DEFAULT_SIZE = 100_000

#: Calls a second.
CALL_RATE = 150.0

#: Seconds that the service takes for a call, and the store for any.
SERVICE_TIME = 0.005
STORE_TIME = 0.004

#: Deadline of the route, in seconds.
DEADLINE = 2.0

#: Mean time between two faults, in seconds.
FAULT_INTERVAL = 10.0

#: Seconds after a crash within which calls are counted as hit by it.
CRASH_SPAN = 3.0

#: Seconds after the last call in which its settlement is written.
REST = 2.0

#: Share of calls whose key carries no time.
UNTIMED_SHARE = 0.02


@attrs.define
class Tally:
    """
    What a run has shown so far.

    Attributes
    ----------
    answers : list of list of PostingAnswer
        Answers by call.
    keys : list of str
        Key of each call, in the same order.
    crashes : list of tuple
        Begin and end of the times that a crash affects, in seconds.
    faults : Counter
        Faults by name.
    """

    answers: list[list[PostingAnswer]] = attrs.field(factory=list)
    keys: list[str] = attrs.field(factory=list)
    crashes: list[tuple[float, float]] = attrs.field(factory=list)
    faults: Counter[str] = attrs.field(factory=Counter)

    def hit_by_crash(self, answers: list[PostingAnswer]) -> bool:
        """Return whether a crash fell into a call."""
        began, ended = answers[0].began, answers[-1].ended
        return any(begin <= ended and began <= end for begin, end in self.crashes)


async def run_calls(options: ScenarioOptions, size: int) -> dict[str, Figure]:
    """
    Make all calls and return the figures.

    Parameters
    ----------
    options : ScenarioOptions
        Seed.
    size : int
        Number of calls.
    """
    plan = TestbedPlan(
        seed=options.seed, vm_count=9, replica_count=1, range_count=1, service_count=3
    )
    tally = Tally()
    before = sum(VIOLATIONS.values())
    async with open_testbed(plan) as testbed:
        await prepare(testbed)
        began, written = testbed.clock.monotonic(), testbed.store.writes
        faults = asyncio.create_task(make_faults(testbed, tally, options.seed))
        await make_calls(testbed, tally, options.seed, size)
        await testbed.clock.sleep(REST)
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        took = testbed.clock.monotonic() - began
        writes = testbed.store.writes - written
        figures = judge(testbed, tally)
    figures["broken-invariants"] = at_most(
        sum(VIOLATIONS.values()) - before, 0, "count"
    )
    figures["calls-per-second"] = observed(size / took, "1/s")
    figures["store-writes-per-second"] = observed(writes / took, "1/s")
    figures["store-writes-per-call"] = observed(writes / size, "1")
    return figures


async def prepare(testbed: Testbed) -> None:
    """Set delays and the route's deadline."""
    for service in testbed.services.values():
        service.delay = SERVICE_TIME
    tables = testbed.vms[0].router.view.tables
    routes = [
        attrs.evolve(route, deadline=DEADLINE)
        if route.name == RouteName("stock")
        else route
        for route in tables.routes
    ]
    version = await testbed.apply(attrs.evolve(tables, routes=routes), "deadline")
    await testbed.wait_in_force(version)
    testbed.store.faults.delay = STORE_TIME


async def make_calls(testbed: Testbed, tally: Tally, seed: int, size: int) -> None:
    """Start calls at random times and wait for all."""
    source = derive_random(seed, "calls")
    tasks = []
    for index in range(size):
        await asyncio.sleep(source.expovariate(CALL_RATE))
        untimed = source.random() < UNTIMED_SHARE
        key = (
            f"issue-{index}"
            if untimed
            else time_ordered_key(testbed.clock.wall(), source)
        )
        choices = [source.randrange(1 << 16) for _ in range(MAX_TRIES)]
        tally.keys.append(key)
        tasks.append(
            asyncio.create_task(post_until_final(testbed, index, key, choices))
        )
    tally.answers = list(await asyncio.gather(*tasks))


async def make_faults(testbed: Testbed, tally: Tally, seed: int) -> None:
    """Inject one fault after another, for ever."""
    source = derive_random(seed, "faults")
    while True:
        await asyncio.sleep(source.expovariate(1 / FAULT_INTERVAL))
        kind, fault = source.choice(FAULTS)
        tally.faults[kind] += 1
        await fault(testbed, tally, source)


async def store_outage(testbed: Testbed, tally: Tally, source: random.Random) -> None:
    """Take the store away for a few seconds."""
    testbed.store.faults.outage = True
    await asyncio.sleep(source.uniform(0.2, 4.0))
    testbed.store.faults.outage = False


async def slow_store(testbed: Testbed, tally: Tally, source: random.Random) -> None:
    """Make the store slow for a few seconds, at times beyond the timeout."""
    testbed.store.faults.delay = source.choice([0.1, 0.5, 2.5])
    await asyncio.sleep(source.uniform(0.5, 4.0))
    testbed.store.faults.delay = STORE_TIME


async def lossy_store(testbed: Testbed, tally: Tally, source: random.Random) -> None:
    """Lose requests and answers of the store for a few seconds."""
    testbed.store.faults.lost_answer_rate = 0.2
    testbed.store.faults.lost_request_rate = 0.1
    await asyncio.sleep(source.uniform(1.0, 5.0))
    testbed.store.faults.lost_answer_rate = 0.0
    testbed.store.faults.lost_request_rate = 0.0


async def cut_off_vm(testbed: Testbed, tally: Tally, source: random.Random) -> None:
    """Cut one VM off from the other VMs."""
    names: set[str] = {vm.id for vm in testbed.vms}
    cut: set[str] = {testbed.vms[source.randrange(len(testbed.vms))].id}
    testbed.network.cut(cut, names - cut)
    await asyncio.sleep(source.uniform(1.0, 6.0))
    testbed.network.heal()


async def restart_vm(testbed: Testbed, tally: Tally, source: random.Random) -> None:
    """Kill a VM with the calls that it holds, and start it at its address."""
    now = testbed.clock.monotonic()
    tally.crashes.append((now, now + CRASH_SPAN))
    await testbed.restart_vm(testbed.vms[source.randrange(len(testbed.vms))])


async def break_service(testbed: Testbed, tally: Tally, source: random.Random) -> None:
    """Let an endpoint break connections before and after it ran calls."""
    now = testbed.clock.monotonic()
    name = source.choice(sorted(testbed.services))
    service = testbed.services[name]
    service.lost_before_rate = service.lost_after_rate = 0.2
    await asyncio.sleep(source.uniform(0.1, 0.5))
    service.lost_before_rate = service.lost_after_rate = 0.0
    end = testbed.clock.monotonic()
    tally.crashes.append((now, end + CRASH_SPAN))


FAULTS = [
    ("store outages", store_outage),
    ("slow store", slow_store),
    ("lossy store", lossy_store),
    ("VMs cut off", cut_off_vm),
    ("VMs restarted", restart_vm),
    ("endpoints broken", break_service),
]


def judge(testbed: Testbed, tally: Tally) -> dict[str, Figure]:
    """Return the figures of a run, with the service's own count as the truth."""
    runs: Counter[str] = Counter()
    attempts: Counter[str] = Counter()
    for service in testbed.services.values():
        runs.update(service.runs)
        attempts.update(service.attempts)
    size = len(tally.keys)
    twice = sum(count > 1 for count in runs.values())
    denied = sum(
        answer.ran == "no" and attempts[answer.attempt] > 0
        for answers in tally.answers
        for answer in answers
    )
    unknown = [it for it in tally.answers if it[-1].ran != "yes"]
    calm = [it for it in tally.answers if not tally.hit_by_crash(it)]
    calm_unknown = [it for it in calm if is_unknown(it[-1])]
    figures = {
        "calls": observed(size, "calls"),
        "run-twice": at_most(twice, 0, "keys"),
        "false-not-run": at_most(denied, 0, "requests"),
        "unknown-outside-crashes": at_most(
            len(calm_unknown) / max(1, len(calm)), 0.001, "of calls"
        ),
        "calls-outside-crashes": observed(len(calm), "calls"),
        "unknown-in-all": observed(
            sum(is_unknown(it[-1]) for it in tally.answers) / size, "of calls"
        ),
        "not-finished": observed(len(unknown) / size, "of calls"),
        "not-run-in-the-end": observed(
            sum(it[-1].ran == "no" for it in tally.answers) / size, "of calls"
        ),
    }
    figures |= added_latency(tally, calm)
    for kind, count in sorted(tally.faults.items()):
        figures[f"faults: {kind}"] = observed(count, "faults")
    return figures


def is_unknown(answer: PostingAnswer) -> bool:
    """Return whether a call ended without its caller knowing its outcome."""
    return answer.ran in ("unknown", "lost")


def added_latency(tally: Tally, calm: list[list[PostingAnswer]]) -> dict[str, Figure]:
    """Return quantiles of what first tries took beyond the service's own time."""
    added = [
        it[0].ended - it[0].began - SERVICE_TIME for it in calm if it[0].status == 200
    ]
    return {
        f"added-latency-p{round(100 * share)}": observed(
            1000 * quantile(added, share), "ms"
        )
        for share in (0.5, 0.95, 0.99)
    }


def run_idempotency(options: ScenarioOptions) -> Report:
    """
    Make many calls with faults and compare the answers with the truth.

    Parameters
    ----------
    options : ScenarioOptions
        Its size is the number of calls.
    """
    size = options.size or DEFAULT_SIZE
    figures = run_virtual(run_calls(options, size))
    return Report("idempotency", options.seed, figures)
