import asyncio
import tracemalloc
import unittest

import aiohttp

from lentilhaven.core.answer_body import (
    AnswerTooLargeError,
    read_answer_body,
    read_answer_json,
)

LIMIT = 100_000
CHUNK = b"1000\r\n%b\r\n" % (b"x" * 4096)
HEAD = b"HTTP/1.1 200 OK\r\n"


async def serve_endlessly(reader, writer):
    """Send a body without end until the client closes."""
    await reader.readuntil(b"\r\n\r\n")
    writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
    try:
        while not writer.is_closing():
            writer.write(CHUNK)
            await writer.drain()
    except (OSError, asyncio.CancelledError):
        writer.close()


def serve_body(body):
    """Return a server's script that sends a body with its length."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        fields = b"Connection: close\r\nContent-Length: %d\r\n\r\n" % len(body)
        writer.write(HEAD + fields + body)
        await writer.drain()
        writer.close()

    return serve


def read_at_the_wire(serve, read):
    """Return what `read(response)` returns for the answer of a server."""

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        timeout = aiohttp.ClientTimeout(total=10.0)
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.get(f"http://127.0.0.1:{port}/") as response,
            ):
                return await read(response)
        finally:
            server.close()

    return asyncio.run(main())


class AnswerBodyTests(unittest.TestCase):
    """Guard against reading an answer without end until the timeout."""

    def test_endless_body_ends_at_the_limit(self):
        tracemalloc.start()
        try:
            with self.assertRaises(AnswerTooLargeError):
                read_at_the_wire(
                    serve_endlessly, lambda it: read_answer_body(it, LIMIT)
                )
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        self.assertLess(peak, 5_000_000)

    def test_body_up_to_the_limit_is_returned(self):
        body = b"x" * LIMIT
        found = read_at_the_wire(
            serve_body(body), lambda it: read_answer_body(it, LIMIT)
        )
        self.assertEqual(found, body)

    def test_json_is_decoded_and_an_empty_body_is_none(self):
        for body, value in ((b'{"a": [1]}', {"a": [1]}), (b" ", None)):
            found = read_at_the_wire(
                serve_body(body), lambda it: read_answer_json(it, LIMIT)
            )
            self.assertEqual(found, value)

    def test_deep_nesting_is_an_error_of_the_value(self):
        """Guard against a `RecursionError` that ends the task which reads."""
        body = b"[" * 20_000 + b"]" * 20_000
        with self.assertRaises(ValueError):
            read_at_the_wire(serve_body(body), lambda it: read_answer_json(it, LIMIT))
