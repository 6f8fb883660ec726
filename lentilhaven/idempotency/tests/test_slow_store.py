import asyncio
import random
import unittest

import attrs
from expression import Error, Ok

from lentilhaven.bench.faulty_store import FaultyStore
from lentilhaven.control.claim import (
    ClaimOutcome,
    ClaimRequest,
    Settlement,
    SettleOutcome,
)
from lentilhaven.core.clock import loop_clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import configure_logs
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.idempotency import Journal, JournalLayout, JournalNode, WriteBudget
from lentilhaven.idempotency.journal_peers import FORWARD_TIMEOUT
from lentilhaven.membership import rank_members
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.virtual import run_virtual

NAMES = ["vm-1", "vm-2", "vm-3"]

#: The first shard, to which all keys belong unless a test has several shards.
SHARD = "u0"


def make_claim(index):
    return ClaimRequest("w", "r", f"issue-{index}", "f", f"q{index}", 100.0)


@attrs.define
class SlowStore:
    """Delays each call of a store by `delay` seconds."""

    store: FaultyStore
    delay: float = 0.0
    calls: int = 0

    async def read(self, name):
        self.calls += 1
        await asyncio.sleep(self.delay)
        return await self.store.read(name)

    async def write(self, name, value, expected_version):
        self.calls += 1
        await asyncio.sleep(self.delay)
        return await self.store.write(name, value, expected_version)


class Cluster:
    """Nodes that forward to each other; each has its own slow path to one store."""

    def __init__(self, shard_count=1):
        rng = random.Random(1)
        self.objects = ObjectStore(rng)
        store = FaultyStore(self.objects, rng, lost_answer_rate=0.0, max_delay=0.0)
        self.stores = {name: SlowStore(store) for name in NAMES}
        self.clock = loop_clock()
        self.layout = JournalLayout(untimed_count=shard_count)
        self.nodes = {name: self.make_node(name) for name in NAMES}
        self.handlers = set()

    def make_node(self, name):
        budget = WriteBudget(self.clock, 1e6, 1e6)
        journal = Journal(self.stores[name], self.clock, budget, self.layout)
        return JournalNode(name, journal, self.forward, lambda: NAMES, self.clock)

    def delay_stores(self, delay, names=NAMES):
        """Set the delay of the calls of some nodes, in seconds."""
        for name in names:
            self.stores[name].delay = delay

    async def forward(self, vm, message):
        """Forward a message; its handler goes on after the timeout, as a server's."""
        handler = asyncio.create_task(self.nodes[vm].commit(message))
        self.handlers.add(handler)
        try:
            async with asyncio.timeout(FORWARD_TIMEOUT):
                return Ok(await asyncio.shield(handler))
        except TimeoutError:
            return Error(Failure(Step.CLAIM, vm, "agent-lost", "", Ran.UNKNOWN))

    async def submit_at_rate(self, messages, rate):
        """Submit messages through all nodes in turn, and return the answers."""
        tasks = []
        for index, message in enumerate(messages):
            node = self.nodes[NAMES[index % len(NAMES)]]
            tasks.append(asyncio.create_task(node.submit(message)))
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*tasks)


class SlowStoreTests(unittest.TestCase):
    """Guards against work that multiplies while the store is slow."""

    def setUp(self):
        configure_logs("critical")
        self.addCleanup(configure_logs, "info")

    def test_shard_stays_with_its_owner(self):
        async def main():
            cluster = Cluster()
            await cluster.submit_at_rate([make_claim(0)], 1.0)
            cluster.delay_stores(1.8)
            claims = [make_claim(index) for index in range(1, 200)]
            await cluster.submit_at_rate(claims, 20.0)
            return {
                name: node.journal.counts["operations"]
                for name, node in cluster.nodes.items()
            }

        operations = run_virtual(main())
        owner, *others = rank_members(f"journal/{SHARD}", set(NAMES))
        self.assertGreater(operations[owner], 0)
        self.assertEqual({operations[name] for name in others}, {0})

    def test_late_claim_is_answered_before_its_forwarder_gives_up(self):
        async def main():
            cluster = Cluster()
            cluster.delay_stores(60.0)
            began = cluster.clock.monotonic()
            answer = await cluster.nodes["vm-1"].commit(make_claim(0))
            return answer, cluster.clock.monotonic() - began

        answer, duration = run_virtual(main())
        self.assertLess(duration, FORWARD_TIMEOUT)
        self.assertIs(answer.outcome, ClaimOutcome.UNAVAILABLE)
        self.assertEqual(answer.failure.kind, "commit-late")
        self.assertTrue(answer.may_stand)

    def test_operations_that_nobody_awaits_are_not_written(self):
        async def main():
            cluster = Cluster()
            node = cluster.nodes["vm-1"]
            await node.commit(make_claim(0))
            cluster.delay_stores(5.0)
            first = asyncio.create_task(node.commit(make_claim(1)))
            await asyncio.sleep(0.1)
            late = [make_claim(index) for index in range(2, 50)]
            settlements = [Settlement(it, SettleOutcome.ABANDONED) for it in late]
            await asyncio.gather(*map(node.commit, [*late, *settlements]), first)
            calls = cluster.stores["vm-1"].calls
            await asyncio.sleep(60.0)
            return cluster, cluster.stores["vm-1"].calls - calls

        cluster, calls_afterwards = run_virtual(main())
        stored = cluster.objects.objects[f"journal/{SHARD}"]
        self.assertEqual(len(stored.value["entries"]), 2)
        self.assertEqual(calls_afterwards, 0)

    def test_owner_that_alone_is_slow_is_passed_over(self):
        async def main():
            cluster = Cluster(shard_count=8)
            cluster.delay_stores(60.0, ["vm-1"])
            claims = [make_claim(index) for index in range(400)]
            answers = await cluster.submit_at_rate(claims, 40.0)
            return [answer.outcome for answer in answers]

        outcomes = run_virtual(main())
        self.assertIn(ClaimOutcome.UNAVAILABLE, outcomes[:120])
        self.assertEqual(set(outcomes[240:320]), {ClaimOutcome.GRANTED})

    def test_store_that_is_slow_for_all_makes_nobody_suspected(self):
        async def main():
            cluster = Cluster(shard_count=8)
            claims = [make_claim(index) for index in range(480)]
            await cluster.submit_at_rate(claims[:80], 40.0)
            cluster.delay_stores(1.8)
            answers = await cluster.submit_at_rate(claims[80:], 40.0)
            suspected = [node.suspected_until for node in cluster.nodes.values()]
            return suspected, {answer.outcome for answer in answers}

        suspected, outcomes = run_virtual(main())
        self.assertEqual(suspected, [{}, {}, {}])
        self.assertEqual(outcomes, {ClaimOutcome.UNAVAILABLE})
