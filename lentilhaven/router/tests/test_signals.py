import asyncio
import signal
import tempfile
import unittest
from pathlib import Path

import aiohttp

from lentilhaven.bench.cost.emitter import WORKSPACE_TOKEN
from lentilhaven.bench.cost.processes import running_router
from lentilhaven.testbed.caller import request_completion


async def wait_until_leaving(session, url):
    """Wait until a router is not ready, that is, has handled its first signal."""
    while True:
        async with session.get(f"{url}/readyz") as response:
            if response.status == 503:
                return
        await asyncio.sleep(0.01)


async def stop_router(signal_count, token_count):
    """Signal a router during an answer; return the answer and its exit code."""
    with tempfile.TemporaryDirectory() as folder:
        async with (
            running_router(Path(folder), gap=0.02, drain_delay=1.0) as router,
            aiohttp.ClientSession() as session,
        ):
            url = f"http://127.0.0.1:{router.port}"

            async def on_token(answer):
                if len(answer.tokens) == 5:
                    for number in range(signal_count):
                        if number:
                            # Signals sent at the same moment are delivered as one.
                            await wait_until_leaving(session, url)
                        router.process.send_signal(signal.SIGTERM)

            answer = await request_completion(
                session,
                url,
                {"Authorization": f"Bearer {WORKSPACE_TOKEN}"},
                {
                    "model": "lentil-12",
                    "prompt": "count",
                    "max_tokens": token_count,
                    "stream": True,
                },
                on_token=on_token,
            )
            code = await asyncio.wait_for(router.process.wait(), 60.0)
            return answer, code


class SignalTests(unittest.IsolatedAsyncioTestCase):
    async def test_one_signal_cuts_nothing_off(self):
        answer, code = await stop_router(signal_count=1, token_count=40)
        self.assertTrue(answer.done, answer)
        self.assertEqual(len(answer.tokens), 40)
        self.assertEqual(code, 0)

    async def test_a_second_signal_is_told_to_the_caller(self):
        answer, code = await stop_router(signal_count=2, token_count=400)
        self.assertFalse(answer.done)
        self.assertIsNotNone(answer.error, answer)
        self.assertEqual(answer.error["type"], "urn:lentilhaven:problem:leaving")
        self.assertEqual(code, 1)
