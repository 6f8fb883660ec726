import asyncio
import tracemalloc
import unittest

import aiohttp

from lentilhaven.core.tests.test_answer_body import serve_endlessly
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.platform.engine_calls import OrderOutcome, fetch_report, order_layers
from lentilhaven.platform.store_client import open_store_client

#: Seconds within which a call must have ended, and its timeout.
PROMPT_TIME = 3.0
TIMEOUT = 6.0

#: Bytes that one call may allocate: twice the largest answer of the store, and buffers.
PEAK_BYTES = 24_000_000


async def permit(step):
    """Permit each call to the store."""


class EndlessAnswerTests(unittest.TestCase):
    """Guard against holding an answer without end of an engine or of the store."""

    def call(self, use):
        """Return the result of `use(address, session)`; it must come promptly."""

        async def main():
            server = await asyncio.start_server(serve_endlessly, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            loop = asyncio.get_running_loop()
            began = loop.time()
            async with aiohttp.ClientSession() as session:
                found = await use(f"127.0.0.1:{port}", session)
            server.close()
            return found, loop.time() - began

        tracemalloc.start()
        try:
            found, seconds = asyncio.run(main())
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertLess(seconds, PROMPT_TIME)
        self.assertLess(peak, PEAK_BYTES)
        return found

    def test_report(self):
        async def use(address, session):
            engine = Endpoint("e", "s", address, "a")
            return await fetch_report(session, engine, TIMEOUT, lambda *_: None)

        self.assertEqual(self.call(use).error.kind, "report")

    def test_order_does_not_read_the_body(self):
        async def use(address, session):
            engine = Endpoint("e", "s", address, "a")
            return await order_layers(
                session, engine, LayerSpan(0, 4), 1, 0, TIMEOUT, lambda *_: None
            )

        self.assertEqual(self.call(use), OrderOutcome.HOLDS)

    def test_store(self):
        async def use(address, session):
            async with open_store_client(address, TIMEOUT, permit) as client:
                return await client.read("config/main")

        self.assertEqual(self.call(use).error.kind, "no-answer")
