import asyncio
import unittest

from aiohttp import web

from lentilhaven.gateway.tests.raw_caller import RawCaller, raw_request
from lentilhaven.serving.limited_server import serve_with_limits
from lentilhaven.serving.server_limits import ServerLimits
from lentilhaven.standins.virtual import run_virtual

HOST, PORT = "10.0.0.1", 8000

LIMITS = ServerLimits(head_timeout=1.0, idle_timeout=2.0)


async def answer(request):
    """Answer a request, and refuse one with a body without reading it."""
    return web.Response(status=403 if request.can_read_body else 200, text="done")


def run_with_server(scenario):
    """Run ``scenario(caller)`` in virtual time with a connected caller."""

    async def main():
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", answer)
        async with serve_with_limits(app, HOST, PORT, LIMITS):
            return await scenario(await RawCaller.connect(PORT, HOST))

    return run_virtual(main())


class KeptConnectionTests(unittest.TestCase):
    """Kept connections closed, unannounced, on requests that arrived (issue 25)."""

    def test_a_request_whose_head_has_begun_to_arrive_is_answered(self):
        async def scenario(caller):
            await caller.ask(raw_request())
            await asyncio.sleep(1.8)
            caller.writer.write(raw_request()[:30])
            await asyncio.sleep(0.8)
            return await caller.ask(raw_request()[30:])

        following = run_with_server(scenario)
        self.assertIsNotNone(following)
        self.assertEqual(following.status, 200)

    def test_an_idle_time_follows_such_a_request(self):
        async def scenario(caller):
            await caller.ask(raw_request())
            caller.writer.write(raw_request()[:30])
            await asyncio.sleep(0.8)
            await caller.ask(raw_request()[30:])
            await asyncio.sleep(1.8)
            return caller.sees_close, await caller.wait_for_close(0.5)

        self.assertEqual(run_with_server(scenario), (False, True))

    def test_a_later_head_that_takes_too_long_is_refused(self):
        async def scenario(caller):
            await caller.ask(raw_request())
            caller.writer.write(raw_request()[:30])
            return await caller.read_answer(1.5), await caller.wait_for_close(0.1)

        refusal, closed = run_with_server(scenario)
        self.assertIsNotNone(refusal)
        self.assertEqual((refusal.status, refusal.idle_time), (408, 0.0))
        self.assertTrue(closed)

    def test_a_refusal_before_the_body_announces_the_end(self):
        async def scenario(caller):
            request = raw_request(body=b"z" * 50_000)
            caller.writer.write(request[:2_000])
            await asyncio.sleep(0.05)
            caller.writer.write(request[2_000:])
            return await caller.read_answer(), await caller.wait_for_close(3.0)

        refusal, closed = run_with_server(scenario)
        self.assertEqual((refusal.status, refusal.idle_time), (403, 0.0))
        self.assertTrue(closed)
