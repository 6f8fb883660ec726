import time
import unittest

from lentilhaven.bench.recovery_trial import (
    chain_in_use,
    completion_body,
    draw_trial,
    expected_text,
    fail_engine,
    restart_engine,
)
from lentilhaven.core.randomness import derive_random
from lentilhaven.retries.circuit_breaker import CLOSED
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.caller import request_completion


async def answer_during_fault(fault, replicas=3, position=5):
    """Run `fault(testbed, chain)` during an answer; return measurements."""
    async with open_testbed(TestbedPlan(replica_count=replicas)) as testbed:
        trial = draw_trial(testbed, derive_random(1, "trial"), silent=False)
        gaps, last = [], testbed.clock.monotonic()

        async def on_token(answer):
            nonlocal last
            now = testbed.clock.monotonic()
            gaps.append(now - last)
            last = now
            if len(answer.tokens) == position:
                fault(testbed, chain_in_use(testbed))

        answer = await request_completion(
            testbed.session,
            testbed.vms[0].url,
            testbed.headers,
            completion_body(testbed, trial),
            on_token=on_token,
        )
        correct = answer.text == expected_text(testbed, trial)
        counters = testbed.vms[0].router.counters
        imports = sum(engine.imports for engine in testbed.engines.values())
        return answer, correct, max(gaps[1:]), counters, imports


class RecoveryTests(unittest.TestCase):
    def check_recovers(self, fault, limit=0.5, **options):
        answer, correct, longest_gap, counters, imports = run_virtual(
            answer_during_fault(fault, **options)
        )
        self.assertTrue(correct and answer.done, answer)
        self.assertLessEqual(longest_gap, limit)
        return counters, imports

    def test_every_stage_can_crash(self):
        for index in range(3):
            with self.subTest(index):
                self.check_recovers(
                    lambda testbed, chain, index=index: fail_engine(
                        testbed, chain[index], silent=False
                    )
                )

    def test_every_stage_can_lose_power(self):
        for index in range(3):
            with self.subTest(index):
                self.check_recovers(
                    lambda testbed, chain, index=index: fail_engine(
                        testbed, chain[index], silent=True
                    )
                )

    def test_all_stages_can_lose_power_at_once(self):
        self.check_recovers(
            lambda testbed, chain: [fail_engine(testbed, it, True) for it in chain],
            limit=0.6,
        )

    def test_a_silent_connection_to_the_head_is_replaced(self):
        def mute_head(testbed, chain):
            testbed.engines[chain[0]].faults.silence_connections()

        counters, _ = self.check_recovers(mute_head, limit=0.2)
        self.assertEqual(counters["streams_read_again"], 1)
        self.assertEqual(counters["attempts_replaced"], 0)

    def test_a_silent_connection_between_engines_is_replaced(self):
        def mute_middle(testbed, chain):
            testbed.engines[chain[1]].faults.silence_connections()

        counters, _ = self.check_recovers(mute_middle, limit=0.3)
        self.assertEqual(counters["attempts_replaced"], 1)

    def test_a_slow_engine_is_not_replaced(self):
        def slow_down(testbed, chain):
            testbed.engines[chain[1]].decode_time = 0.3

        counters, _ = self.check_recovers(slow_down)
        self.assertGreater(counters["streams_examined"], 0)
        self.assertEqual(counters["attempts_replaced"], 0)

    def test_a_living_engine_exports_its_cache(self):
        def refuse(testbed, chain):
            testbed.engines[chain[1]].faults.refusing = True

        _, imports = self.check_recovers(refuse)
        self.assertEqual(imports, 1)

    def test_without_replacement_the_error_tells_the_position(self):
        answer, _, _, _, _ = run_virtual(
            answer_during_fault(
                lambda testbed, chain: fail_engine(testbed, chain[1], False),
                replicas=1,
            )
        )
        self.assertFalse(answer.done)
        self.assertEqual(answer.error["ran"], "yes")
        self.assertIn("position 5", answer.error["detail"])

    def test_an_answer_that_is_given_up_is_cancelled_at_once(self):
        async def main():
            async with open_testbed(TestbedPlan(replica_count=1)) as testbed:
                trial = draw_trial(testbed, derive_random(1, "trial"), silent=False)

                async def on_token(answer):
                    if len(answer.tokens) == 5:
                        fail_engine(testbed, "engine-1b", silent=False)

                body = completion_body(testbed, trial)
                request = (testbed.session, testbed.vms[0].url, testbed.headers, body)
                answer = await request_completion(*request, on_token=on_token)
                await testbed.clock.sleep(1.0)
                held = sum(len(it.streams) for it in testbed.engines.values())
                return answer, held

        answer, held = run_virtual(main())
        self.assertIsNotNone(answer.error)
        self.assertEqual(held, 0)

    def test_circuits_close_when_endpoints_answer_again(self):
        async def fail_and_revive():
            async with open_testbed(TestbedPlan(replica_count=1)) as testbed:
                trial = draw_trial(testbed, derive_random(1, "trial"), silent=False)
                body = completion_body(testbed, trial)
                request = (testbed.session, testbed.vms[0].url, testbed.headers, body)
                fail_engine(testbed, "engine-1b", silent=False)
                first = await request_completion(*request)
                restart_engine(testbed, "engine-1b")
                await testbed.clock.sleep(2.0)
                second = await request_completion(*request)
                circuits = testbed.vms[0].router.circuit_breakers.circuits
                return first, second, circuits["engine-1b"].state

        first, second, state = run_virtual(fail_and_revive())
        self.assertEqual(first.error["type"], "urn:lentilhaven:problem:no-pipeline")
        self.assertTrue(second.done, second.error)
        self.assertEqual(state, CLOSED)


def block_event_loop(seconds):
    """Block the event loop, as a stall of the whole process does."""
    time.sleep(seconds)


class StalledRouterTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_router_that_stood_still_blames_nobody(self):
        async with open_testbed(TestbedPlan(virtual=False)) as testbed:
            trial = draw_trial(testbed, derive_random(1, "trial"), silent=False)
            timeout = testbed.vms[0].router.view.tables.routes[0].token_timeout

            async def on_token(answer):
                # This stalls the whole process, including the engines.
                block_event_loop(2 * timeout)

            body = completion_body(testbed, trial) | {"max_tokens": 6}
            request = (testbed.session, testbed.vms[0].url, testbed.headers, body)
            answer = await request_completion(*request, on_token=on_token)
            self.assertTrue(answer.done, answer)
            self.assertEqual(len(answer.tokens), 6)
            counters = testbed.vms[0].router.counters
            self.assertEqual(counters["attempts_replaced"], 0)
