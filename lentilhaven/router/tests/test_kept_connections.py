import asyncio
import json
import unittest
from urllib.parse import urlsplit

from lentilhaven.gateway.tests.raw_caller import RawCaller
from lentilhaven.router.shutdown import drain
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed

#: Time limit of a caller for one answer, in seconds.
PATIENCE = 30.0


def completion_request(testbed):
    """Return the bytes of a request for a streamed completion."""
    body = {
        "model": testbed.plan.model,
        "prompt": "list every meter",
        "max_tokens": 64,
        "stream": True,
    }
    data = json.dumps(body).encode()
    fields = {
        "Host": "x",
        "Content-Type": "application/json",
        "Content-Length": str(len(data)),
        **testbed.headers,
    }
    lines = [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join(["POST /v1/completions HTTP/1.1", *lines, "", ""])
    return head.encode() + data


class LeavingTests(unittest.TestCase):
    """The connection of a stream closed, unannounced, if its VM left (issue 25)."""

    def run_stream(self, scenario):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                url = urlsplit(testbed.vms[0].url)
                caller = await RawCaller.connect(url.port, url.hostname)
                request = completion_request(testbed)
                return await scenario(testbed.vms[0].router, caller, request)

        return run_virtual(main())

    def test_a_request_after_a_stream_that_began_before_is_answered(self):
        async def scenario(router, caller, request):
            stream = asyncio.ensure_future(caller.ask(request, PATIENCE))
            await asyncio.sleep(0.1)
            running = not stream.done()
            router.leaving = True
            await stream
            following = await caller.ask(request, PATIENCE)
            return running, stream.result(), following

        running, stream, following = self.run_stream(scenario)
        self.assertTrue(running)
        self.assertEqual((stream.status, stream.complete), (200, True))
        self.assertNotEqual(stream.idle_time, 0.0)
        self.assertIsNotNone(following)
        self.assertEqual((following.status, following.idle_time), (200, 0.0))

    def test_a_stream_that_begins_later_announces_the_end(self):
        async def scenario(router, caller, request):
            router.leaving = True
            return await caller.ask(request, PATIENCE)

        self.assertEqual(self.run_stream(scenario).idle_time, 0.0)


class LateBodyTests(unittest.TestCase):
    """Guards against passing on a request whose body ends after a stop has refused."""

    def play(self, sends_rest):
        async def main():
            async with open_testbed(TestbedPlan(drain_delay=0.1)) as testbed:
                router = testbed.vms[0].router
                url = urlsplit(testbed.vms[0].url)
                caller = await RawCaller.connect(url.port, url.hostname)
                request = completion_request(testbed)
                caller.writer.write(request[:-4])
                await asyncio.sleep(0.1)
                stop = asyncio.ensure_future(drain(router, asyncio.Event()))
                await asyncio.sleep(0.15)
                if sends_rest:
                    caller.writer.write(request[-4:])
                answer = await caller.read_answer(PATIENCE)
                return answer, await stop

        return run_virtual(main())

    def test_it_is_refused_as_not_run_at_once(self):
        for sends_rest in (False, True):
            with self.subTest(sends_rest=sends_rest):
                answer, cut_off = self.play(sends_rest)
                self.assertEqual((answer.status, answer.complete), (503, True))
                self.assertEqual(json.loads(answer.body)["ran"], "no")
                self.assertEqual(cut_off, 0)
