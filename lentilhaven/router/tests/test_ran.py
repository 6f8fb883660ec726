import unittest

import attrs

from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.serving.problems import (
    STATUS_BY_KIND,
    problem_bytes,
    problem_document,
    problem_response,
)
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.caller import request_completion

#: URL with a port on which nothing listens.
CLOSED_URL = "http://127.0.0.1:9"


async def ask_with_fault(fault):
    """Return the answer to a request after a fault, its duration and new streams."""
    async with open_testbed(TestbedPlan()) as testbed:
        await fault(testbed)
        body = {"model": testbed.plan.model, "prompt": "count", "max_tokens": 4}
        url = testbed.vms[0].url
        started_at = testbed.clock.monotonic()
        answer = await request_completion(testbed.session, url, testbed.headers, body)
        elapsed = testbed.clock.monotonic() - started_at
        streams = sum(it.new_streams for it in testbed.engines.values())
        return answer, elapsed, streams


async def close_ports(testbed):
    """Apply tables whose endpoints are at a port on which nothing listens."""
    tables = testbed.vms[0].router.view.tables
    pools = [
        attrs.evolve(
            pool,
            endpoints=[attrs.evolve(it, url=CLOSED_URL) for it in pool.endpoints],
        )
        for pool in tables.pools
    ]
    edited = attrs.evolve(tables, pools=pools)
    await testbed.wait_until_adopted(await testbed.apply(edited, "closed"))


async def refuse_all(testbed):
    """Make every engine refuse work but answer probes."""
    for engine in testbed.engines.values():
        engine.faults.refusing = True


async def kill_all(testbed):
    """Make every engine accept connections and break them."""
    for engine in testbed.engines.values():
        engine.kill()


class RanTests(unittest.TestCase):
    def test_refused_connections_prove_that_nothing_ran(self):
        answer, _, streams = run_virtual(ask_with_fault(close_ports))
        self.assertEqual((answer.error["ran"], streams), ("no", 0))

    def test_refusals_prove_that_nothing_ran(self):
        answer, _, streams = run_virtual(ask_with_fault(refuse_all))
        self.assertEqual((answer.error["ran"], streams), ("no", 0))

    def test_broken_connections_leave_the_execution_unknown(self):
        answer, _, _ = run_virtual(ask_with_fault(kill_all))
        self.assertEqual(answer.error["ran"], "unknown")

    def test_the_final_answer_is_not_held_back(self):
        for fault in (close_ports, refuse_all, kill_all):
            with self.subTest(fault.__name__):
                answer, elapsed, _ = run_virtual(ask_with_fault(fault))
                self.assertIsNotNone(answer.error)
                self.assertLess(elapsed, 1.0)


class StatusTests(unittest.TestCase):
    """Guard against a 503, which promises that nothing ran, after a possible run."""

    def test_no_pipeline_after_a_possible_run_is_a_502(self):
        answer, _, _ = run_virtual(ask_with_fault(kill_all))
        kind = answer.error["type"].rpartition(":")[2]
        self.assertEqual((kind, answer.error["status"]), ("no-pipeline", 502))

    def test_every_kind_of_refusal_becomes_a_502_after_a_possible_run(self):
        for kind in STATUS_BY_KIND:
            for ran in (Ran.YES, Ran.UNKNOWN):
                with self.subTest(kind, ran=ran):
                    failure = Failure(Step.STREAM, "", kind, "", ran)
                    self.assertNotEqual(problem_response(failure).status, 503)
                    self.assertNotEqual(problem_document(failure)["status"], 503)
                    self.assertNotIn(b" 503 ", problem_bytes(failure))


class BudgetTests(unittest.TestCase):
    def test_retries_of_a_failing_pool_stay_within_the_budget(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                await refuse_all(testbed)
                # Circuit breakers would stop the retries before the budget does.
                testbed.vms[0].router.circuit_breakers.bypassing = True
                body = {"model": testbed.plan.model, "prompt": "a", "max_tokens": 4}
                url, kinds = testbed.vms[0].url, set()
                for _ in range(40):
                    answer = await request_completion(
                        testbed.session, url, testbed.headers, body
                    )
                    kinds.add(answer.error["type"].rpartition(":")[2])
                return testbed.vms[0].router.counters["attempts_replaced"], kinds

        replaced, kinds = run_virtual(main())
        self.assertLessEqual(replaced, 3 + 0.1 * 40)
        self.assertIn("retry-budget", kinds)
