"""The scenario ``idempotency``: many non-idempotent calls under random faults."""

import asyncio
import random
from collections import Counter

import attrs

from lentilhaven.bench.figure import Figure, at_most, observed
from lentilhaven.bench.posting_caller import (
    MAX_ATTEMPTS,
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

#: Number of calls if no size is given.
DEFAULT_SIZE = 100_000

#: Mean calls per second.
CALL_RATE = 150.0

#: Delay of every call to a service, and of every call to the store, in seconds.
SERVICE_TIME = 0.005
STORE_TIME = 0.004

#: Deadline of the route, in seconds.
ROUTE_DEADLINE = 2.0

#: Mean time between two faults, in seconds.
FAULT_INTERVAL = 10.0

#: Seconds after a crash during which calls count as affected by it.
CRASH_WINDOW = 3.0

#: Time after the last call to write the remaining settlements, in seconds.
SETTLE_TIME = 2.0

#: Share of calls whose key contains no time.
UNTIMED_KEY_SHARE = 0.02

#: Share of calls that a second caller makes at the same time with the same key.
REPEATED_SHARE = 0.05


@attrs.define
class RunRecord:
    """
    Record of the calls and faults of a run.

    Attributes
    ----------
    answers : list of list of PostingAnswer
        Answers to the attempts of each call, in order.
    repeats : list of list of PostingAnswer
        Answers to the attempts of each second caller.
    keys : list of str
        Idempotency key of each call, in the same order.
    crashes : list of tuple
        Start and end of each period affected by a crash or a broken endpoint, as
        monotonic times in seconds.
    faults : Counter
        Injected faults by name.
    """

    answers: list[list[PostingAnswer]] = attrs.field(factory=list)
    repeats: list[list[PostingAnswer]] = attrs.field(factory=list)
    keys: list[str] = attrs.field(factory=list)
    crashes: list[tuple[float, float]] = attrs.field(factory=list)
    faults: Counter[str] = attrs.field(factory=Counter)

    def overlaps_crash(self, answers: list[PostingAnswer]) -> bool:
        """Return whether the attempts of a call overlap a period in `crashes`."""
        began, ended = answers[0].began, answers[-1].ended
        return any(begin <= ended and began <= end for begin, end in self.crashes)


async def run_calls(options: ScenarioOptions, size: int) -> dict[str, Figure]:
    """
    Make all calls and return the figures.

    Parameters
    ----------
    options : ScenarioOptions
        Seed of all random draws.
    size : int
        Number of calls.
    """
    plan = TestbedPlan(
        seed=options.seed, vm_count=9, replica_count=1, range_count=1, service_count=3
    )
    record = RunRecord()
    before = sum(VIOLATIONS.values())
    async with open_testbed(plan) as testbed:
        await configure_testbed(testbed)
        start, writes_before = testbed.clock.monotonic(), testbed.store.writes
        faults = asyncio.create_task(inject_faults(testbed, record, options.seed))
        await make_calls(testbed, record, options.seed, size)
        await testbed.clock.sleep(SETTLE_TIME)
        faults.cancel()
        await asyncio.gather(faults, return_exceptions=True)
        duration = testbed.clock.monotonic() - start
        writes = testbed.store.writes - writes_before
        figures = make_figures(testbed, record)
    figures["broken-invariants"] = at_most(
        sum(VIOLATIONS.values()) - before, 0, "count"
    )
    figures["calls-per-second"] = observed(size / duration, "1/s")
    figures["store-writes-per-second"] = observed(writes / duration, "1/s")
    figures["store-writes-per-call"] = observed(writes / size, "1")
    return figures


async def configure_testbed(testbed: Testbed) -> None:
    """Set the deadline of the route and the delays of services and store."""
    for service in testbed.services.values():
        service.delay = SERVICE_TIME
    tables = testbed.vms[0].router.view.tables
    routes = [
        attrs.evolve(route, deadline=ROUTE_DEADLINE)
        if route.name == RouteName("stock")
        else route
        for route in tables.routes
    ]
    version = await testbed.apply(attrs.evolve(tables, routes=routes), "deadline")
    await testbed.wait_until_adopted(version)
    testbed.store.faults.delay = STORE_TIME


async def make_calls(testbed: Testbed, record: RunRecord, seed: int, size: int) -> None:
    """Start calls at random times, wait for them, and record their keys and answers."""
    rng, repeats_rng = derive_random(seed, "calls"), derive_random(seed, "repeats")
    tasks, repeats = [], []
    for index in range(size):
        await asyncio.sleep(rng.expovariate(CALL_RATE))
        untimed = rng.random() < UNTIMED_KEY_SHARE
        key = (
            f"issue-{index}" if untimed else time_ordered_key(testbed.clock.wall(), rng)
        )
        record.keys.append(key)
        tasks.append(start_caller(testbed, str(index), key, rng))
        # Without a second caller, a key would be used twice only after a fault.
        if repeats_rng.random() < REPEATED_SHARE:
            name = f"repeat-{index}"
            repeats.append(start_caller(testbed, name, key, repeats_rng))
    record.answers = list(await asyncio.gather(*tasks))
    record.repeats = list(await asyncio.gather(*repeats))


def start_caller(
    testbed: Testbed, name: str, key: str, rng: random.Random
) -> "asyncio.Task[list[PostingAnswer]]":
    """Start a caller that retries at random VMs until the outcome is final."""
    vm_choices = [rng.randrange(1 << 16) for _ in range(MAX_ATTEMPTS)]
    return asyncio.create_task(post_until_final(testbed, name, key, vm_choices))


async def inject_faults(testbed: Testbed, record: RunRecord, seed: int) -> None:
    """Inject faults one after another until cancelled."""
    rng = derive_random(seed, "faults")
    while True:
        await asyncio.sleep(rng.expovariate(1 / FAULT_INTERVAL))
        fault_name, fault = rng.choice(FAULTS)
        record.faults[fault_name] += 1
        await fault(testbed, record, rng)


async def store_outage(testbed: Testbed, record: RunRecord, rng: random.Random) -> None:
    """Make the store unavailable for a few seconds."""
    testbed.store.faults.outage = True
    await asyncio.sleep(rng.uniform(0.2, 4.0))
    testbed.store.faults.outage = False


async def slow_store(testbed: Testbed, record: RunRecord, rng: random.Random) -> None:
    """Delay the store for a few seconds, sometimes beyond the call timeout."""
    testbed.store.faults.delay = rng.choice([0.1, 0.5, 2.5])
    await asyncio.sleep(rng.uniform(0.5, 4.0))
    testbed.store.faults.delay = STORE_TIME


async def lossy_store(testbed: Testbed, record: RunRecord, rng: random.Random) -> None:
    """Lose requests to the store and its answers for a few seconds."""
    testbed.store.faults.lost_answer_rate = 0.2
    testbed.store.faults.lost_request_rate = 0.1
    await asyncio.sleep(rng.uniform(1.0, 5.0))
    testbed.store.faults.lost_answer_rate = 0.0
    testbed.store.faults.lost_request_rate = 0.0


async def cut_off_vm(testbed: Testbed, record: RunRecord, rng: random.Random) -> None:
    """Cut one VM off from the other VMs for a few seconds."""
    names: set[str] = {vm.id for vm in testbed.vms}
    isolated: set[str] = {testbed.vms[rng.randrange(len(testbed.vms))].id}
    testbed.network.partition(isolated, names - isolated)
    await asyncio.sleep(rng.uniform(1.0, 6.0))
    testbed.network.heal()


async def restart_vm(testbed: Testbed, record: RunRecord, rng: random.Random) -> None:
    """Kill a VM, which loses its calls, and restart it at the same address."""
    now = testbed.clock.monotonic()
    record.crashes.append((now, now + CRASH_WINDOW))
    await testbed.restart_vm(testbed.vms[rng.randrange(len(testbed.vms))])


async def break_service(
    testbed: Testbed, record: RunRecord, rng: random.Random
) -> None:
    """Let an endpoint break some connections before or after it executes the call."""
    now = testbed.clock.monotonic()
    name = rng.choice(sorted(testbed.services))
    service = testbed.services[name]
    service.lost_before_rate = service.lost_after_rate = 0.2
    await asyncio.sleep(rng.uniform(0.1, 0.5))
    service.lost_before_rate = service.lost_after_rate = 0.0
    end = testbed.clock.monotonic()
    record.crashes.append((now, end + CRASH_WINDOW))


FAULTS = [
    ("store outages", store_outage),
    ("slow store", slow_store),
    ("lossy store", lossy_store),
    ("VMs cut off", cut_off_vm),
    ("VMs restarted", restart_vm),
    ("endpoints broken", break_service),
]


def make_figures(testbed: Testbed, record: RunRecord) -> dict[str, Figure]:
    """Return the figures of a run, checked against the counts of the services."""
    runs: Counter[str] = Counter()
    attempts: Counter[str] = Counter()
    for service in testbed.services.values():
        runs.update(service.runs)
        attempts.update(service.attempts)
    size = len(record.keys)
    run_twice = sum(count > 1 for count in runs.values())
    false_not_run = sum(
        answer.ran == "no" and attempts[answer.attempt] > 0
        for answers in record.answers + record.repeats
        for answer in answers
    )
    unfinished = [it for it in record.answers if it[-1].ran != "yes"]
    undisturbed = [it for it in record.answers if not record.overlaps_crash(it)]
    undisturbed_unknown = [it for it in undisturbed if is_outcome_unknown(it[-1])]
    figures = {
        "calls": observed(size, "calls"),
        "repeated-calls": observed(len(record.repeats), "calls"),
        "run-twice": at_most(run_twice, 0, "keys"),
        "false-not-run": at_most(false_not_run, 0, "requests"),
        "unknown-outside-crashes": at_most(
            len(undisturbed_unknown) / max(1, len(undisturbed)), 0.001, "of calls"
        ),
        "calls-outside-crashes": observed(len(undisturbed), "calls"),
        "unknown-in-all": observed(
            sum(is_outcome_unknown(it[-1]) for it in record.answers) / size, "of calls"
        ),
        "not-finished": observed(len(unfinished) / size, "of calls"),
        "not-run-in-the-end": observed(
            sum(it[-1].ran == "no" for it in record.answers) / size, "of calls"
        ),
    }
    figures |= added_latency(record, undisturbed)
    for fault_name, count in sorted(record.faults.items()):
        figures[f"faults: {fault_name}"] = observed(count, "faults")
    return figures


def is_outcome_unknown(answer: PostingAnswer) -> bool:
    """
    Return whether the caller can't tell if its call was executed.

    Either the answer says that the outcome is unknown, or there was no answer.
    """
    return answer.ran in ("unknown", "lost")


def added_latency(
    record: RunRecord, undisturbed: list[list[PostingAnswer]]
) -> dict[str, Figure]:
    """
    Return quantiles of the latency that the system adds to successful first attempts.

    The service time is subtracted.
    """
    added = [
        it[0].ended - it[0].began - SERVICE_TIME
        for it in undisturbed
        if it[0].status == 200
    ]
    return {
        f"added-latency-p{round(100 * share)}": observed(
            1000 * quantile(added, share), "ms"
        )
        for share in (0.5, 0.95, 0.99)
    }


def run_idempotency(options: ScenarioOptions) -> Report:
    """
    Make many calls under faults and check the answers against the executions.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of calls.
    """
    size = options.size or DEFAULT_SIZE
    figures = run_virtual(run_calls(options, size))
    return Report("idempotency", options.seed, figures)
