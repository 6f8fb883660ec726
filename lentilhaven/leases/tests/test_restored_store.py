"""
A lease in a store that is restored from a copy at any moment.

The property: of several processes that run the lease, no two ever hold it at the same
time, and no two terms have the same fencing number.  The model: each process steps at
random times on one clock; a call to the store takes effect between two random moments,
its answer may be lost, and copies of the store are taken and restored in between.
"""

import asyncio
import random
import unittest

import attrs
from expression import Error, Ok

from lentilhaven.core.clock import Clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.leases import Lease, LeaseSettings
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.objects.write_outcome import Ambiguous, Conflict, Written
from lentilhaven.standins.virtual import run_virtual

SETTINGS = LeaseSettings(
    duration=3.0, renewal_interval=1.0, margin=0.3, poll_interval=0.5
)

LOST = Failure(Step.WRITE_OBJECT, "store", "no-answer", "lost")


@attrs.define
class RestorableStore:
    """A store of one object that is restored from copies."""

    random: random.Random
    loss: float = 0.0
    era: int = 1
    revision: int = 1
    version: int = 0
    value: object = None

    def make_copy(self):
        return (self.revision, self.version, self.value)

    def restore(self, earlier):
        self.revision, self.version, self.value = earlier
        self.era += 1

    def write_elsewhere(self):
        """Change another object, which uses up a revision."""
        self.revision += 1

    async def travel(self):
        await asyncio.sleep(self.random.uniform(0.0, 0.4))

    async def read(self, name):
        await self.travel()
        found = StoredObject(name, self.version, self.value, self.era)
        await self.travel()
        if self.random.random() < self.loss:
            return Error(LOST)
        return Ok(found if found.version else None)

    async def write(self, name, value, expected_version):
        await self.travel()
        if expected_version != self.version:
            return Conflict()
        self.revision += 1
        self.version, self.value = self.revision, value
        written = Written(self.version, self.era)
        await self.travel()
        return Ambiguous(LOST) if self.random.random() < self.loss else written


@attrs.define
class Process:
    """A process with its lease, and the newest era that it knows."""

    lease: Lease
    known_era: int = 0


class ObservingStore:
    """The store as one process sees it, which learns the era from each answer."""

    def __init__(self, store, process_of):
        self.store = store
        self.process_of = process_of

    def learn(self, era):
        process = self.process_of()
        process.known_era = max(process.known_era, era)

    async def read(self, name):
        found = await self.store.read(name)
        if found.is_ok():
            self.learn(found.ok.era if found.ok else self.store.era)
        return found

    async def write(self, name, value, expected_version):
        outcome = await self.store.write(name, value, expected_version)
        if isinstance(outcome, Written):
            self.learn(outcome.era)
        return outcome


def make_process(store, name, loop):
    holder = []
    lease = Lease(
        ObservingStore(store, lambda: holder[0]),
        "leases/placement",
        name,
        f"run-{name}-{store.random.random()}",
        Clock(loop.time, loop.time, asyncio.sleep),
        SETTINGS,
        current_era=lambda: holder[0].known_era,
    )
    holder.append(Process(lease))
    return holder[0]


async def watch_holders(processes, fences, seconds):
    """Check the property all the time; return the number of moments with a holder."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    held = 0
    while loop.time() < end:
        holders = [
            (index, fence)
            for index, process in enumerate(processes)
            if (fence := process.lease.fencing_number()) is not None
        ]
        assert len(holders) <= 1, f"{holders} hold the lease at {loop.time():.2f}"
        for index, fence in holders:
            held += 1
            owner = fences.setdefault(fence, processes[index].lease.run)
            assert owner == processes[index].lease.run, f"fence {fence} given out twice"
        await asyncio.sleep(0.02)
    return held


async def disturb(store, processes, tasks, source, loop, seconds):
    """Take copies, restore them, and replace processes, at random moments."""
    copies = [store.make_copy()]
    end = loop.time() + seconds
    while loop.time() < end:
        await asyncio.sleep(source.uniform(0.1, 2.0))
        action = source.random()
        if action < 0.35:
            copies.append(store.make_copy())
        elif action < 0.6:
            store.restore(source.choice(copies[-3:]))
        elif action < 0.8:
            store.write_elsewhere()
        else:
            index = source.randrange(len(processes))
            tasks[index].cancel()
            processes[index] = make_process(store, f"vm-{index}", loop)
            tasks[index] = asyncio.ensure_future(processes[index].lease.maintain())


async def run_model(seed, seconds=60.0):
    loop = asyncio.get_running_loop()
    source = random.Random(seed)
    store = RestorableStore(source, loss=source.choice((0.0, 0.2)))
    processes = [make_process(store, f"vm-{index}", loop) for index in range(3)]
    tasks = [asyncio.ensure_future(it.lease.maintain()) for it in processes]
    fences = {}
    disturbance = asyncio.ensure_future(
        disturb(store, processes, tasks, source, loop, seconds)
    )
    held = await watch_holders(processes, fences, seconds)
    await disturbance
    held += await watch_holders(processes, fences, 20.0)
    for task in tasks:
        task.cancel()
    return held, len(fences)


class InterleavingTests(unittest.TestCase):
    def test_no_two_hold_the_lease_at_once(self):
        terms = 0
        for seed in range(150):
            with self.subTest(seed=seed):
                held, count = run_virtual(run_model(seed))
                self.assertGreater(held, 0)
                terms += count
        # The model must not pass because nobody ever holds the lease.
        self.assertGreater(terms, 300)


async def acquire(process):
    """Step a process until it holds the lease."""
    for _ in range(100):
        pause = await process.lease.step()
        if process.lease.fencing_number() is not None:
            return
        await asyncio.sleep(pause)


class EraTests(unittest.TestCase):
    def setUp(self):
        self.store = RestorableStore(random.Random(1))

    def test_no_order_on_a_term_of_an_earlier_era(self):
        async def use():
            process = make_process(self.store, "a", asyncio.get_running_loop())
            await acquire(process)
            process.known_era += 1
            return process.lease.fencing_number()

        self.assertIsNone(run_virtual(use()))

    def test_missing_lease_of_a_restored_store_is_not_free(self):
        """The copy may have been taken before the lease was first acquired."""

        async def use():
            loop = asyncio.get_running_loop()
            earlier = self.store.make_copy()
            first = make_process(self.store, "a", loop)
            await acquire(first)
            self.store.restore(earlier)
            second = make_process(self.store, "b", loop)
            await second.lease.step()
            return first.lease.fencing_number(), second.lease.fencing_number()

        held, taken = run_virtual(use())
        self.assertIsNotNone(held)
        self.assertIsNone(taken)

    def test_renewal_that_matches_a_reused_version_counts_for_nothing(self):
        async def use():
            loop = asyncio.get_running_loop()
            earlier = self.store.make_copy()
            first = make_process(self.store, "a", loop)
            await acquire(first)
            self.store.restore(earlier)
            second = make_process(self.store, "b", loop)
            await acquire(second)
            # Both have written the same version, in different eras.
            same = first.lease.observation.version == second.lease.observation.version
            first.lease.valid_until = loop.time() + 1.0
            first.known_era = first.lease.era
            await first.lease.renew()
            return same, first.lease.fencing_number(), first.lease.state

        self.assertEqual(run_virtual(use()), (True, None, "outside"))
