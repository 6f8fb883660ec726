import asyncio
import contextlib
import socket
import struct
import unittest

import aiohttp

from lentilhaven.endpoints.service_client import ServiceCall, call_service
from lentilhaven.tables.endpoint_spec import EndpointSpec

UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def call_at_the_wire(answer, end, delay, method="GET"):
    """Return the outcome of a call to a server that ends its connection."""

    async def main():
        async def serve(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
                await asyncio.sleep(delay)
            end(writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        endpoint = EndpointSpec("e", f"http://127.0.0.1:{port}", "a")
        async with aiohttp.ClientSession() as session:
            call = ServiceCall(method, "/", {}, b"")
            found = await call_service(session, endpoint, call, 5.0)
        server.close()
        return found

    return asyncio.run(main())


class UnframedAnswerTests(unittest.TestCase):
    """
    Guard against an answer cut by a reset that looks whole.

    Such an answer has neither a length nor chunks and ends with its connection.
    """

    def test_whole_if_closed_in_order(self):
        for delay in (0.0, 0.1):
            found = call_at_the_wire(UNFRAMED + b"hello", lambda it: it.close(), delay)
            self.assertEqual(found.ok.body, b"hello")

    def test_not_whole_if_reset(self):
        for size in (5, 1_000_000):
            for delay in (0.0, 0.1):
                with self.subTest(size=size, delay=delay):
                    found = call_at_the_wire(UNFRAMED + b"x" * size, reset, delay)
                    self.assertTrue(found.is_error())

    def test_framed_answer_is_whole_before_a_reset(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
        found = call_at_the_wire(head + b"hello", reset, 0.1)
        self.assertEqual(found.ok.body, b"hello")
