import asyncio
import unittest
from unittest import mock

import aiohttp
from expression import Error

from lentilhaven.bench.recovery_trial import (
    chain_in_use,
    completion_body,
    draw_trial,
    expected_text,
    fail_engine,
)
from lentilhaven.core.randomness import derive_random
from lentilhaven.endpoints.engine_client import (
    CONNECT_TIMEOUT,
    EngineClient,
    probe_failure,
)
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.caller import request_completion

#: Seconds for which a sound engine is silent before it goes on.
SILENCE = 1.0


async def answer_during_silence(position, replicas, index=1):
    """
    Return an answer, and whether it is correct, of which one stage falls silent.

    All replicas of the stage are silent from the token at `position` on, or before the
    request if that is 0.
    """
    async with open_testbed(TestbedPlan(replica_count=replicas)) as testbed:
        trial = draw_trial(testbed, derive_random(1, "trial"), silent=False)

        def fall_silent():
            for replica in range(replicas):
                name = f"engine-{replica + 1}{'abc'[index]}"
                fail_engine(testbed, name, silent=True)
                running = testbed.engines[name].faults.running
                asyncio.get_running_loop().call_later(SILENCE, running.set)

        async def on_token(answer):
            if position and len(answer.tokens) == position:
                fall_silent()

        if not position:
            fall_silent()
        answer = await request_completion(
            testbed.session,
            testbed.vms[0].url,
            testbed.headers,
            completion_body(testbed, trial),
            on_token=on_token,
        )
        return answer, answer.text == expected_text(testbed, trial)


class SilentEngineTests(unittest.TestCase):
    """
    Guard against answers that end since the only engine of a stage was silent.

    The attempt was given up before another one could begin, long before the deadline.
    """

    def check(self, position, replicas=1, index=1):
        answer, correct = run_virtual(answer_during_silence(position, replicas, index))
        self.assertIsNone(answer.error)
        self.assertTrue(correct and answer.done)

    def test_answer_goes_on_after_the_silence(self):
        self.check(position=5)

    def test_answer_begins_after_the_silence(self):
        self.check(position=0)

    def test_the_head_may_be_silent(self):
        for position in (0, 5):
            with self.subTest(position):
                self.check(position, index=0)

    def test_all_replicas_may_be_silent_at_once(self):
        for position in (0, 5):
            with self.subTest(position):
                self.check(position, replicas=2)


async def answer_of_a_lost_stage(position, end):
    """
    Return an answer whose middle stage is silent for ever, and its duration in seconds.

    `end(engine)` is called with the engine 0.5 s after it has fallen silent.
    """
    async with open_testbed(TestbedPlan(replica_count=1)) as testbed:
        trial = draw_trial(testbed, derive_random(1, "trial"), silent=False)
        engine = testbed.engines["engine-1b"]

        def fall_silent():
            fail_engine(testbed, "engine-1b", silent=True)
            asyncio.get_running_loop().call_later(0.5, end, engine)

        async def on_token(answer):
            if position and len(answer.tokens) == position:
                fall_silent()

        if not position:
            fall_silent()
        began = testbed.clock.monotonic()
        answer = await request_completion(
            testbed.session,
            testbed.vms[0].url,
            testbed.headers,
            completion_body(testbed, trial),
            on_token=on_token,
        )
        deadline = testbed.vms[0].router.view.tables.routes[0].deadline
        return answer, testbed.clock.monotonic() - began, deadline


class LostEngineTests(unittest.TestCase):
    """Guard against waiting for an engine that is lost, or beyond the deadline."""

    def test_a_stage_that_breaks_connections_is_given_up(self):
        def end(engine):
            engine.kill()
            engine.faults.running.set()

        for position in (0, 5):
            with self.subTest(position):
                found = answer_of_a_lost_stage(position, end)
                answer, seconds, _ = run_virtual(found)
                self.assertIsNotNone(answer.error)
                self.assertLess(seconds, 2.0)

    def test_a_stage_whose_host_is_gone_is_given_up(self):
        gone = []

        async def probe(client, stage, request, *timeouts):
            if stage.endpoint not in gone:
                return await real_probe(client, stage, request, *timeouts)
            await asyncio.sleep(CONNECT_TIMEOUT)
            error = aiohttp.ConnectionTimeoutError()
            return Error(probe_failure(stage, error))

        real_probe = EngineClient.probe
        for position in (0, 5):
            with (
                self.subTest(position),
                mock.patch.object(EngineClient, "probe", probe),
            ):
                gone.clear()
                found = answer_of_a_lost_stage(
                    position, lambda engine: gone.append(engine.id)
                )
                answer, seconds, _ = run_virtual(found)
                self.assertIsNotNone(answer.error)
                self.assertLess(seconds, 3.0)

    def test_the_wait_ends_at_the_deadline(self):
        for position in (0, 5):
            with self.subTest(position):
                found = answer_of_a_lost_stage(position, lambda engine: None)
                answer, seconds, deadline = run_virtual(found)
                kind = answer.error["type"].rpartition(":")[2]
                self.assertEqual((kind, answer.error["status"]), ("deadline", 504))
                self.assertAlmostEqual(seconds, deadline, delta=0.5)


class ResumeTests(unittest.TestCase):
    """Guard against an answer that is lost since its head was silent at its resume."""

    def test_answer_is_resumed_after_the_silence(self):
        async def main():
            async with open_testbed(TestbedPlan(vm_count=2)) as testbed:
                trial = draw_trial(testbed, derive_random(1, "trial"), silent=False)
                body = completion_body(testbed, trial)
                chain = []

                async def on_token(answer):
                    if len(answer.tokens) == 5:
                        chain.extend(chain_in_use(testbed))
                        raise ConnectionError("the caller disconnects")

                request = (testbed.session, testbed.vms[0].url, testbed.headers, body)
                answer = await request_completion(*request, on_token=on_token)
                fail_engine(testbed, chain[0], silent=True)
                running = testbed.engines[chain[0]].faults.running
                asyncio.get_running_loop().call_later(SILENCE, running.set)
                url = testbed.vms[1].url
                await request_completion(
                    testbed.session, url, testbed.headers, body, answer
                )
                return answer, answer.text == expected_text(testbed, trial)

        answer, correct = run_virtual(main())
        self.assertIsNone(answer.error)
        self.assertTrue(correct and answer.done)
