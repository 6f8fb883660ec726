import asyncio
import unittest

from lentilhaven.bench.recovery_trial import (
    chain_in_use,
    completion_body,
    draw_trial,
    expected_text,
    fail_engine,
)
from lentilhaven.core.randomness import derive_random
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.caller import request_completion

#: Seconds for which a sound engine is silent before it goes on.
SILENCE = 1.0


async def answer_during_silence(position, replicas):
    """
    Return an answer, and whether it is correct, of which one engine falls silent.

    The engine is silent from the token at `position` on, or before the request if that
    is 0.
    """
    async with open_testbed(TestbedPlan(replica_count=replicas)) as testbed:
        trial = draw_trial(testbed, derive_random(1, "trial"), silent=False)

        def fall_silent(name):
            fail_engine(testbed, name, silent=True)
            running = testbed.engines[name].faults.running
            asyncio.get_running_loop().call_later(SILENCE, running.set)

        async def on_token(answer):
            if position and len(answer.tokens) == position:
                fall_silent(chain_in_use(testbed)[1])

        if not position:
            fall_silent("engine-1b")
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

    def check(self, position, replicas=1):
        answer, correct = run_virtual(answer_during_silence(position, replicas))
        self.assertIsNone(answer.error)
        self.assertTrue(correct and answer.done)

    def test_answer_goes_on_after_the_silence(self):
        self.check(position=5)

    def test_answer_begins_after_the_silence(self):
        self.check(position=0)


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
