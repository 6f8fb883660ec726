import asyncio
import json
import unittest

import aiohttp

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.gateway.connection_factories import ConnectionFactories
from lentilhaven.platform.engine_calls import OrderOutcome, fetch_report, order_layers

TIMEOUT = 5.0

#: Seconds after which the bytes that were sent have arrived.
SETTLE_TIME = 0.05


class RepeatingEngine:
    """
    Engine that misfits all orders, and writes each of its answers again.

    Attributes
    ----------
    at_once : bool
        Whether it does so at once, or where the next answer is due.
    reports : int
        Number of reports so far, which it states as accepted orders.
    """

    def __init__(self, at_once):
        self.at_once = at_once
        self.reports = 0

    async def serve(self, reader, writer):
        """Serve a connection until its end."""
        copy = b""
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                if head.startswith(b"POST"):
                    await reader.readuntil(b"}")
                writer.write(copy)
                copy = self.answer(head)
                writer.write(copy)
                if self.at_once:
                    await asyncio.sleep(SETTLE_TIME)
                    writer.write(copy)
                    copy = b""
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def answer(self, head):
        """Return the answer to a call."""
        status, body = 409, b"{}"
        if head.startswith(b"GET"):
            self.reports += 1
            status, body = 200, json.dumps({"sequence": self.reports}).encode()
        return b"HTTP/1.1 %d -\r\nContent-Length: %d\r\n\r\n%b" % (
            status,
            len(body),
            body,
        )


class RepeatedReportTests(unittest.TestCase):
    """Guard against an earlier answer of an engine that is taken for that to a call."""

    def call_engine(self, at_once):
        """Return the accepted orders of two reports, and the outcome of an order."""

        async def main():
            engine = RepeatingEngine(at_once)
            server = await asyncio.start_server(engine.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = Endpoint("e", "s", f"127.0.0.1:{port}", "a")
            connector = ConnectionFactories().connector()
            async with aiohttp.ClientSession(connector=connector) as session:
                call = session, endpoint
                found = []
                for _ in range(2):
                    report = await fetch_report(*call, TIMEOUT, lambda *_: None)
                    found.append(report.ok.accepted_orders)
                    await asyncio.sleep(2 * SETTLE_TIME)
                span = LayerSpan(0, 4)
                found.append(
                    await order_layers(*call, span, 1, 2, TIMEOUT, lambda *_: None)
                )
            server.close()
            await asyncio.sleep(2 * SETTLE_TIME)
            return found

        return asyncio.run(main())

    def test_copies_of_reports(self):
        for at_once in (True, False):
            with self.subTest(at_once=at_once):
                self.assertEqual(self.call_engine(at_once), [1, 2, OrderOutcome.MISFIT])
