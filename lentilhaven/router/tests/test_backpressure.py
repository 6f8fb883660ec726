import json
import unittest

from lentilhaven.router.completion_request import split_tokens
from lentilhaven.standins.engine import READ_AHEAD
from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed

LENGTH = 2000

#: Minimum sizes of a piece and of an event in bytes, ensured by long names.
MIN_PIECE_SIZE = 1000
MIN_EVENT_SIZE = 450

#: Bytes that the buffers at both ends of one connection may hold.
MAX_BUFFERED = 524_288

PLAN = TestbedPlan(
    decode_time=0.0001,
    range_count=1,
    layer_count=2,
    model="m" * 200,
    version="v" * MIN_PIECE_SIZE,
)


def find_long_answer(plan):
    """Return a prompt with an answer of full length, and the answer's tokens."""
    for number in range(1000):
        prompt = f"list every meter {number}"
        tokens = split_tokens(prompt)
        answer = reference_answer(plan.version, plan.layer_count, tokens, LENGTH)
        if len(answer) == LENGTH:
            return prompt, answer
    raise AssertionError("no prompt of 1000 has an answer of full length")


class BackpressureTests(unittest.TestCase):
    def test_a_caller_that_stops_reading_pauses_the_engine(self):
        async def main():
            async with open_testbed(PLAN) as testbed:
                plan = testbed.plan
                prompt, expected = find_long_answer(plan)
                body = {"model": plan.model, "prompt": prompt, "max_tokens": LENGTH}
                url = f"{testbed.vms[0].url}/v1/completions"
                async with testbed.session.post(
                    url, json=body | {"stream": True}, headers=testbed.headers
                ) as response:
                    await response.content.readline()
                    await testbed.clock.sleep(20.0)
                    streams = [
                        stream
                        for engine in testbed.engines.values()
                        for stream in engine.streams.values()
                        if stream.order is not None
                    ]
                    made = len(streams[0].pieces)
                    lines = [line async for line in response.content]
                texts = [
                    json.loads(line[6:])["choices"][0]["text"]
                    for line in lines
                    if line.startswith(b"data: {")
                ]
                return made, texts, expected

        made, texts, expected = run_virtual(main())
        self.assertEqual(texts, expected)
        held = MAX_BUFFERED // MIN_PIECE_SIZE + MAX_BUFFERED // MIN_EVENT_SIZE
        self.assertLess(made, READ_AHEAD + held)
        self.assertLess(made, len(expected))

    def test_a_caller_that_never_reads_again_is_disconnected(self):
        async def main():
            async with open_testbed(PLAN) as testbed:
                prompt, _ = find_long_answer(testbed.plan)
                body = {"model": testbed.plan.model, "prompt": prompt}
                body |= {"max_tokens": LENGTH, "stream": True}
                url = f"{testbed.vms[0].url}/v1/completions"
                router = testbed.vms[0].router
                async with testbed.session.post(
                    url, json=body, headers=testbed.headers
                ) as response:
                    await response.content.readline()
                    await testbed.clock.sleep(router.settings.write_timeout + 15.0)
                    held = sum(len(it.streams) for it in testbed.engines.values())
                    return router.in_flight, router.counters["callers_gone"], held

        in_flight, gone, held = run_virtual(main())
        self.assertEqual((in_flight, gone, held), (0, 1, 0))
