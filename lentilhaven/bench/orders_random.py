"""The scenario ``orders-random``: leases and orders with faults, many seeds."""

import asyncio
import random
from collections import Counter

import attrs
from expression import Error, Result

from lentilhaven.bench.faulty_store import FaultyStore
from lentilhaven.bench.figure import at_most, observed
from lentilhaven.bench.gated_store import GatedStore
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.clock import Clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import EndpointId, ModelVersion, VmId
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.step import Step
from lentilhaven.leases import Lease
from lentilhaven.orders import EndpointOrder, EndpointReport, OrderHolder, WaveRules
from lentilhaven.orders.endpoint_order import Phase
from lentilhaven.orders.order_holder import ORDER_FLIGHT, ORDER_TIMEOUT
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.order_target import OrderTarget, WeightStore
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables.layer_range import LayerRange

#: Seeds run when no size is given.
DEFAULT_SIZE = 500

#: Shape of the pool.
REPLICA_COUNT = 8
RANGE_COUNT = 3

#: Time over which faults go on, and in which all must have changed, in seconds.
FAULT_TIME = 120.0
TIME_LIMIT = 900.0

#: Most by which a clock runs fast or slow.
CLOCK_DRIFT = 0.04

#: Share of orders before whose first byte their sender is paused.
PAUSE_BEFORE_SEND = 0.1

RULES = WaveRules(max_out=0.25, max_loads=6)

WANTED = ModelVersion("v2")


@attrs.define(eq=False)
class Contender:
    """
    A VM that may hold the lease.

    Attributes
    ----------
    running : asyncio.Event
        Cleared while it is paused.
    holder : OrderHolder
        Its orders.
    tasks : list of asyncio.Task
        What it runs.
    """

    running: asyncio.Event
    holder: OrderHolder
    tasks: list[asyncio.Task]


@attrs.define
class OrderBench:
    """
    Several contenders, one pool and one store.

    Attributes
    ----------
    source : random.Random
        Source of chance.
    store : FaultyStore
        The platform's store.
    targets : dict
        `OrderTarget` by endpoint.
    checks_fencing : bool
        Whether the targets check fencing numbers.
    contenders : list of Contender
        The VMs.
    counts : Counter
        What was seen.
    flights : set of asyncio.Task
        Orders under way.
    runs : int
        Number of processes started.
    """

    source: random.Random
    store: FaultyStore
    targets: dict[EndpointId, OrderTarget]
    checks_fencing: bool
    contenders: list[Contender] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)
    flights: set[asyncio.Task] = attrs.field(factory=set)
    runs: int = 0

    def start(self) -> Contender:
        """Start a process that contends for the lease."""
        self.runs += 1
        running = asyncio.Event()
        running.set()
        clock = drifting_clock(1 + self.source.uniform(-CLOCK_DRIFT, CLOCK_DRIFT))
        store = GatedStore(self.store, running)
        run = f"run-{self.runs}"
        lease = Lease(store, "leases/orders", VmId(f"vm-{self.runs}"), run, clock)

        async def report() -> list[EndpointReport]:
            await running.wait()
            return [it.report(WANTED) for it in self.targets.values()]

        async def send(order: EndpointOrder) -> Result[None, Failure]:
            return await self.send(order, running)

        holder = OrderHolder(lease, report, send, clock, self.checks_fencing, RULES)
        coroutines = (lease.keep(), holder.keep())
        tasks = [asyncio.create_task(it) for it in coroutines]
        return Contender(running, holder, tasks)

    async def send(
        self, order: EndpointOrder, running: asyncio.Event
    ) -> Result[None, Failure]:
        """Carry an order to its endpoint, late or on time."""
        if self.source.random() < PAUSE_BEFORE_SEND:
            self.counts["faults: pause before send"] += 1
            running.clear()
            loop = asyncio.get_running_loop()
            loop.call_later(self.source.uniform(0.1, 12.0), running.set)
        delay = 0.01
        if self.source.random() < 0.2:
            delay = self.source.uniform(0, ORDER_TIMEOUT + ORDER_FLIGHT)

        async def carry() -> Result[None, Failure]:
            # A pause after the last check and before the first byte goes out.
            await running.wait()
            await asyncio.sleep(delay)
            return self.targets[order.endpoint].obey(order)

        task = asyncio.create_task(carry())
        self.flights.add(task)
        task.add_done_callback(self.flights.discard)
        done, _ = await asyncio.wait({task}, timeout=ORDER_TIMEOUT)
        await running.wait()
        if done:
            return task.result()
        return Error(Failure(Step.ORDER, order.endpoint, "order-lost", "no answer"))

    async def watch(self) -> None:
        """Look for two holders and for ranges that serve too little, for ever."""
        least = REPLICA_COUNT - int(REPLICA_COUNT * RULES.max_out)
        while True:
            holders = [
                it for it in self.contenders if it.holder.lease.fence() is not None
            ]
            self.counts["two holders"] += len(holders) > 1
            for index in range(RANGE_COUNT):
                serving = sum(
                    it.phase is Phase.SERVING
                    for it in self.targets.values()
                    if it.layers.start == index
                )
                self.counts["range below its capacity"] += serving < least
            await asyncio.sleep(0.05)


def drifting_clock(rate: float) -> Clock:
    """Return a clock that runs faster or slower than the event loop's."""

    def monotonic() -> float:
        return asyncio.get_running_loop().time() * rate

    async def sleep(seconds: float) -> None:
        await asyncio.sleep(seconds / rate)

    return Clock(monotonic, monotonic, sleep)


def make_targets(checks_fencing: bool) -> dict[EndpointId, OrderTarget]:
    """Return a pool that serves the old version."""
    weights = WeightStore()
    return {
        EndpointId(f"{replica}-{index}"): OrderTarget(
            EndpointId(f"{replica}-{index}"),
            LayerRange(index, index + 1),
            ModelVersion("v1"),
            weights,
            checks_fencing,
        )
        for replica in range(REPLICA_COUNT)
        for index in range(RANGE_COUNT)
    }


async def make_faults(bench: OrderBench) -> None:
    """Pause, crash and cut off contenders, then heal everything."""
    loop = asyncio.get_running_loop()
    source = bench.source
    while loop.time() < FAULT_TIME:
        await asyncio.sleep(source.expovariate(0.5))
        contender = source.choice(bench.contenders)
        kind = source.choice(["pause", "crash", "outage", "slow", "lose"])
        bench.counts[f"faults: {kind}"] += 1
        if kind == "pause":
            contender.running.clear()
            loop.call_later(source.uniform(0.1, 12.0), contender.running.set)
        if kind == "crash":
            stop(contender)
            bench.contenders.remove(contender)
            bench.contenders.append(bench.start())
        if kind == "outage":
            bench.store.outage = not bench.store.outage
        if kind == "slow":
            bench.store.slowness = source.choice([0.01, 0.3, 1.5])
        if kind == "lose":
            bench.store.lost_rate = source.choice([0.0, 0.3])
    bench.store.outage, bench.store.slowness, bench.store.lost_rate = False, 0.01, 0.0
    for contender in bench.contenders:
        contender.running.set()


def stop(contender: Contender) -> None:
    """Crash a process."""
    for task in contender.tasks:
        task.cancel()


async def run_seed(seed: int) -> Counter[str]:
    """
    Run one seed and return its counts.

    Parameters
    ----------
    seed : int
        Seed of everything.
    """
    source = derive_random(seed, "orders-random")
    checks = source.random() < 0.5
    store = FaultyStore(ObjectStore(source), source)
    bench = OrderBench(source, store, make_targets(checks), checks)
    bench.contenders = [bench.start() for _ in range(3)]
    watch = asyncio.create_task(bench.watch())
    await make_faults(bench)
    loop = asyncio.get_running_loop()
    for _ in range(round(TIME_LIMIT - FAULT_TIME)):
        if all_changed(bench):
            break
        await asyncio.sleep(1.0)
    watch.cancel()
    counts = bench.counts
    counts["unfinished"] += not all_changed(bench)
    counts["order after a newer number, checked"] += checks and stale_orders(bench)
    counts["order after a newer number, ignored"] += (not checks) and stale_orders(
        bench
    )
    weights = next(iter(bench.targets.values())).weights
    counts["more loads than allowed"] += weights.most_loading > RULES.max_loads
    counts["refused orders"] += sum(it.refused for it in bench.targets.values())
    counts["seconds in all"] += round(loop.time())
    for contender in bench.contenders:
        stop(contender)
    for task in bench.flights:
        task.cancel()
    return counts


def all_changed(bench: OrderBench) -> bool:
    """Return whether every endpoint serves the wanted version."""
    return all(
        it.version == WANTED and it.phase is Phase.SERVING
        for it in bench.targets.values()
    )


def stale_orders(bench: OrderBench) -> int:
    """Return the number of orders that were obeyed after a newer number."""
    return sum(
        before.fence > after.fence
        for target in bench.targets.values()
        for before, after in zip(target.accepted, target.accepted[1:], strict=False)
    )


#: Counts that must be zero.
WRONG = (
    "two holders",
    "range below its capacity",
    "unfinished",
    "order after a newer number, checked",
    "more loads than allowed",
    "broken invariants",
)


def run_seeds(first: int, count: int) -> Counter[str]:
    """
    Run consecutive seeds and return the sum of their counts.

    Parameters
    ----------
    first, count : int
        The first seed and how many.
    """
    counts: Counter[str] = Counter()
    before = sum(VIOLATIONS.values())
    for seed in range(first, first + count):
        counts.update(run_virtual(run_seed(seed)))
    counts["broken invariants"] += sum(VIOLATIONS.values()) - before
    return counts


def run_orders_random(options: ScenarioOptions) -> Report:
    """
    Run many seeds and report what went wrong.

    Parameters
    ----------
    options : ScenarioOptions
        Its size is the number of seeds.
    """
    size = options.size or DEFAULT_SIZE
    counts = run_seeds(options.seed * 1_000_000, size)
    figures = {name: at_most(counts[name], 0, "count") for name in WRONG}
    others = sorted(set(counts) - set(WRONG))
    figures |= {name: observed(counts[name], "count") for name in others}
    return Report("orders-random", options.seed, figures)
