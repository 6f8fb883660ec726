import unittest

import attrs

from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.caller import ask

#: A port on which nothing listens.
CLOSED_URL = "http://127.0.0.1:9"


async def ask_broken(fault):
    """Return the answers of two requests after `fault(testbed)`, and runs."""
    async with open_testbed(TestbedPlan()) as testbed:
        await fault(testbed)
        body = {"model": testbed.plan.model, "prompt": "count", "max_tokens": 4}
        url = testbed.vms[0].url
        began = testbed.clock.monotonic()
        answer = await ask(testbed.session, url, testbed.headers, body)
        taken = testbed.clock.monotonic() - began
        streams = sum(it.new_streams for it in testbed.engines.values())
        return answer, taken, streams


async def close_ports(testbed):
    """Put tables in force that name ports on which nothing listens."""
    tables = testbed.vms[0].router.view.tables
    pools = [
        attrs.evolve(
            pool,
            endpoints=[attrs.evolve(it, url=CLOSED_URL) for it in pool.endpoints],
        )
        for pool in tables.pools
    ]
    edited = attrs.evolve(tables, pools=pools)
    await testbed.wait_in_force(await testbed.apply(edited, "closed"))


async def refuse_all(testbed):
    """Let every engine refuse work while it answers probes."""
    for engine in testbed.engines.values():
        engine.faults.refusing = True


async def kill_all(testbed):
    """Let every engine take connections and break them."""
    for engine in testbed.engines.values():
        engine.kill()


class RanTests(unittest.TestCase):
    def test_refused_connections_prove_that_nothing_ran(self):
        answer, _, streams = run_virtual(ask_broken(close_ports))
        self.assertEqual((answer.error["ran"], streams), ("no", 0))

    def test_refusals_prove_that_nothing_ran(self):
        answer, _, streams = run_virtual(ask_broken(refuse_all))
        self.assertEqual((answer.error["ran"], streams), ("no", 0))

    def test_broken_connections_prove_nothing(self):
        answer, _, _ = run_virtual(ask_broken(kill_all))
        self.assertEqual(answer.error["ran"], "unknown")

    def test_the_final_answer_is_not_held_back(self):
        for fault in (close_ports, refuse_all, kill_all):
            with self.subTest(fault.__name__):
                answer, taken, _ = run_virtual(ask_broken(fault))
                self.assertIsNotNone(answer.error)
                self.assertLess(taken, 1.0)


class BudgetTests(unittest.TestCase):
    def test_retries_of_a_failing_pool_stay_within_the_budget(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                await refuse_all(testbed)
                # Circuits would stop the retries before the budget does.
                testbed.vms[0].router.circuits.ignoring = True
                body = {"model": testbed.plan.model, "prompt": "a", "max_tokens": 4}
                url, kinds = testbed.vms[0].url, set()
                for _ in range(40):
                    answer = await ask(testbed.session, url, testbed.headers, body)
                    kinds.add(answer.error["type"].rpartition(":")[2])
                return testbed.vms[0].router.counters["attempts_replaced"], kinds

        replaced, kinds = run_virtual(main())
        self.assertLessEqual(replaced, 3 + 0.1 * 40)
        self.assertIn("retry-budget", kinds)
