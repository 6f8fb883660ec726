"""The scenario ``orders-random``: leases and orders under faults, over many seeds."""

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
from lentilhaven.orders import (
    EndpointOrder,
    EndpointReconciler,
    EndpointReport,
    WaveRules,
)
from lentilhaven.orders.endpoint_order import Phase
from lentilhaven.orders.endpoint_reconciler import MAX_ORDER_DELAY, ORDER_TIMEOUT
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.order_target import OrderTarget, WeightStore
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables.layer_range import LayerRange

#: Number of seeds if no size is given.
DEFAULT_SIZE = 500

#: Number of replicas in the pool, and of layer ranges in each replica.
REPLICA_COUNT = 8
RANGE_COUNT = 3

#: Time during which faults are injected, in seconds.
FAULT_DURATION = 120.0

#: Time from the start within which all endpoints must be updated, in seconds.
TIME_LIMIT = 900.0

#: Maximum relative error of a clock's rate.
MAX_CLOCK_DRIFT = 0.04

#: Share of orders whose sender is paused before it sends the first byte.
PAUSE_BEFORE_SEND_RATE = 0.1

RULES = WaveRules(max_unavailable=0.25, max_concurrent_loads=6)

WANTED_VERSION = ModelVersion("v2")


@attrs.define(eq=False)
class Contender:
    """
    A process that competes for the lease and sends orders while it holds it.

    Attributes
    ----------
    running : asyncio.Event
        Cleared while the process is paused.
    holder : EndpointReconciler
        Sends the orders.
    tasks : list of asyncio.Task
        Tasks of the process.
    """

    running: asyncio.Event
    holder: EndpointReconciler
    tasks: list[asyncio.Task]


@attrs.define
class OrderSimulation:
    """
    Several contenders for the lease, with one pool and one store.

    Attributes
    ----------
    rng : random.Random
        Source of randomness.
    store : FaultyStore
        Store of the lease.
    targets : dict
        `OrderTarget` by endpoint id.
    checks_fencing : bool
        Whether the targets check fencing numbers.
    contenders : list of Contender
        Running processes.
    counts : Counter
        Number of faults, events and violations by name.
    orders_in_transit : set of asyncio.Task
        Tasks that deliver orders, until the endpoint has handled the order.
    process_count : int
        Number of processes started so far.
    """

    rng: random.Random
    store: FaultyStore
    targets: dict[EndpointId, OrderTarget]
    checks_fencing: bool
    contenders: list[Contender] = attrs.field(factory=list)
    counts: Counter[str] = attrs.field(factory=Counter)
    orders_in_transit: set[asyncio.Task] = attrs.field(factory=set)
    process_count: int = 0

    def start(self) -> Contender:
        """Start a process that competes for the lease."""
        self.process_count += 1
        running = asyncio.Event()
        running.set()
        clock = drifting_clock(1 + self.rng.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT))
        store = GatedStore(self.store, running)
        run = f"run-{self.process_count}"
        lease = Lease(
            store, "leases/orders", VmId(f"vm-{self.process_count}"), run, clock
        )

        async def report() -> list[EndpointReport]:
            await running.wait()
            return [it.report(WANTED_VERSION) for it in self.targets.values()]

        async def send(order: EndpointOrder) -> Result[None, Failure]:
            return await self.send(order, running)

        holder = EndpointReconciler(
            lease, report, send, clock, self.checks_fencing, RULES
        )
        coroutines = (lease.maintain(), holder.run())
        tasks = [asyncio.create_task(it) for it in coroutines]
        return Contender(running, holder, tasks)

    async def send(
        self, order: EndpointOrder, running: asyncio.Event
    ) -> Result[None, Failure]:
        """
        Deliver an order to its endpoint, sometimes late.

        The sender may be paused first.  Without an answer within `ORDER_TIMEOUT`,
        return a failure; the order may still arrive.
        """
        if self.rng.random() < PAUSE_BEFORE_SEND_RATE:
            self.counts["faults: pause before send"] += 1
            running.clear()
            loop = asyncio.get_running_loop()
            loop.call_later(self.rng.uniform(0.1, 12.0), running.set)
        delay = 0.01
        if self.rng.random() < 0.2:
            delay = self.rng.uniform(0, ORDER_TIMEOUT + MAX_ORDER_DELAY)

        async def deliver() -> Result[None, Failure]:
            # The sender may be paused after its last check that it holds the lease
            # and before it sends the first byte.
            await running.wait()
            await asyncio.sleep(delay)
            return self.targets[order.endpoint].accept_order(order)

        task = asyncio.create_task(deliver())
        self.orders_in_transit.add(task)
        task.add_done_callback(self.orders_in_transit.discard)
        done, _ = await asyncio.wait({task}, timeout=ORDER_TIMEOUT)
        await running.wait()
        if done:
            return task.result()
        return Error(Failure(Step.ORDER, order.endpoint, "order-lost", "no answer"))

    async def monitor(self) -> None:
        """
        Sample the state periodically and count violations, until cancelled.

        Counts the samples with two or more lease holders, and in each sample the
        layer ranges with too few serving endpoints.
        """
        min_serving = REPLICA_COUNT - int(REPLICA_COUNT * RULES.max_unavailable)
        while True:
            holders = [
                it
                for it in self.contenders
                if it.holder.lease.fencing_number() is not None
            ]
            self.counts["two holders"] += len(holders) > 1
            for index in range(RANGE_COUNT):
                serving = sum(
                    it.phase is Phase.SERVING
                    for it in self.targets.values()
                    if it.layers.start == index
                )
                self.counts["range below its capacity"] += serving < min_serving
            await asyncio.sleep(0.05)


def drifting_clock(rate: float) -> Clock:
    """Return a clock that runs `rate` times as fast as the event loop's clock."""

    def monotonic() -> float:
        return asyncio.get_running_loop().time() * rate

    async def sleep(seconds: float) -> None:
        await asyncio.sleep(seconds / rate)

    return Clock(monotonic, monotonic, sleep)


def make_targets(checks_fencing: bool) -> dict[EndpointId, OrderTarget]:
    """Return the endpoints of a pool that serves the old version."""
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


async def inject_faults(simulation: OrderSimulation) -> None:
    """Pause and crash contenders and disturb the store, then end all faults."""
    loop = asyncio.get_running_loop()
    rng = simulation.rng
    while loop.time() < FAULT_DURATION:
        await asyncio.sleep(rng.expovariate(0.5))
        contender = rng.choice(simulation.contenders)
        kind = rng.choice(["pause", "crash", "outage", "slow", "lose"])
        simulation.counts[f"faults: {kind}"] += 1
        if kind == "pause":
            contender.running.clear()
            loop.call_later(rng.uniform(0.1, 12.0), contender.running.set)
        if kind == "crash":
            crash(contender)
            simulation.contenders.remove(contender)
            simulation.contenders.append(simulation.start())
        if kind == "outage":
            simulation.store.outage = not simulation.store.outage
        if kind == "slow":
            simulation.store.max_delay = rng.choice([0.01, 0.3, 1.5])
        if kind == "lose":
            simulation.store.lost_answer_rate = rng.choice([0.0, 0.3])
    (
        simulation.store.outage,
        simulation.store.max_delay,
        simulation.store.lost_answer_rate,
    ) = (
        False,
        0.01,
        0.0,
    )
    for contender in simulation.contenders:
        contender.running.set()


def crash(contender: Contender) -> None:
    """Crash a process by cancelling its tasks."""
    for task in contender.tasks:
        task.cancel()


async def run_seed(seed: int) -> Counter[str]:
    """
    Run one seed and return its counts.

    Parameters
    ----------
    seed : int
        Seed of all random draws.
    """
    rng = derive_random(seed, "orders-random")
    checks_fencing = rng.random() < 0.5
    store = FaultyStore(ObjectStore(rng), rng)
    simulation = OrderSimulation(
        rng, store, make_targets(checks_fencing), checks_fencing
    )
    simulation.contenders = [simulation.start() for _ in range(3)]
    monitor = asyncio.create_task(simulation.monitor())
    await inject_faults(simulation)
    loop = asyncio.get_running_loop()
    for _ in range(round(TIME_LIMIT - FAULT_DURATION)):
        if all_updated(simulation):
            break
        await asyncio.sleep(1.0)
    monitor.cancel()
    counts = simulation.counts
    counts["unfinished"] += not all_updated(simulation)
    counts["order after a newer number, checked"] += (
        checks_fencing and count_stale_orders(simulation)
    )
    counts["order after a newer number, ignored"] += (
        not checks_fencing
    ) and count_stale_orders(simulation)
    weights = next(iter(simulation.targets.values())).weights
    counts["more loads than allowed"] += (
        weights.max_concurrent_loads > RULES.max_concurrent_loads
    )
    counts["refused orders"] += sum(it.refused for it in simulation.targets.values())
    counts["seconds in all"] += round(loop.time())
    for contender in simulation.contenders:
        crash(contender)
    for task in simulation.orders_in_transit:
        task.cancel()
    return counts


def all_updated(simulation: OrderSimulation) -> bool:
    """Return whether all endpoints serve the wanted version."""
    return all(
        it.version == WANTED_VERSION and it.phase is Phase.SERVING
        for it in simulation.targets.values()
    )


def count_stale_orders(simulation: OrderSimulation) -> int:
    """Return the number of orders accepted after a higher fencing number."""
    return sum(
        before.fence > after.fence
        for target in simulation.targets.values()
        for before, after in zip(target.accepted, target.accepted[1:], strict=False)
    )


#: Names of the counts that must be zero.
VIOLATION_NAMES = (
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
        First seed and number of seeds.
    """
    counts: Counter[str] = Counter()
    before = sum(VIOLATIONS.values())
    for seed in range(first, first + count):
        counts.update(run_virtual(run_seed(seed)))
    counts["broken invariants"] += sum(VIOLATIONS.values()) - before
    return counts


def run_orders_random(options: ScenarioOptions) -> Report:
    """
    Run many seeds and report violations.

    Parameters
    ----------
    options : ScenarioOptions
        The size is the number of seeds.
    """
    size = options.size or DEFAULT_SIZE
    counts = run_seeds(options.seed * 1_000_000, size)
    figures = {name: at_most(counts[name], 0, "count") for name in VIOLATION_NAMES}
    other_names = sorted(set(counts) - set(VIOLATION_NAMES))
    figures |= {name: observed(counts[name], "count") for name in other_names}
    return Report("orders-random", options.seed, figures)
