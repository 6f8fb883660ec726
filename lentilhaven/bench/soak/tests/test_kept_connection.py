import asyncio
import unittest

from lentilhaven.bench.soak.kept_connection import (
    ResponseReader,
    encode_request,
    open_connection,
)
from lentilhaven.standins.platform.replica_wire import reset_connection

REQUEST = encode_request("GET", "/a", {"Host": "a"}, b"")
WHOLE = b"HTTP/1.1 200 -\r\nContent-Length: 2\r\n\r\nab"
UNFRAMED = b"HTTP/1.1 200 -\r\n\r\nab"
CHUNKED = b"HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n"


class KeptConnectionTests(unittest.IsolatedAsyncioTestCase):
    """Guard against a caller that takes a broken-off answer for a whole one."""

    async def serve(self, answers, end=None, max_idle=60.0):
        """Yield connections to a server that ends each one after some answers."""
        self.opened = 0

        async def handle(reader, writer):
            self.opened += 1
            for answer in answers:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(answer)
                await writer.drain()
            if end is not None:
                end(writer)

        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self.addCleanup(server.close)
        port = server.sockets[0].getsockname()[1]
        return open_connection(f"127.0.0.1:{port}", max_idle)

    async def exchange(self, connection):
        response = ResponseReader()
        await connection.ensure_open()
        await connection.exchange(REQUEST, response)
        return response

    async def test_connection_is_kept(self):
        async with await self.serve([WHOLE, WHOLE]) as connection:
            for is_reused in (False, True):
                self.assertEqual(connection.is_reused, is_reused)
                response = await self.exchange(connection)
                self.assertEqual((response.status, response.body), (200, b"ab"))
                self.assertTrue(response.complete)
        self.assertEqual(self.opened, 1)

    async def test_close_that_arrived_is_seen_before_the_next_request(self):
        def close(writer):
            writer.close()

        async with await self.serve([WHOLE], close) as connection:
            await self.exchange(connection)
            await asyncio.sleep(0.05)
            self.assertTrue((await self.exchange(connection)).complete)
        self.assertEqual(self.opened, 2)

    async def test_idle_connection_is_not_used_again(self):
        async with await self.serve([WHOLE], max_idle=0.01) as connection:
            await self.exchange(connection)
            await asyncio.sleep(0.02)
            await self.exchange(connection)
        self.assertEqual(self.opened, 2)

    async def test_only_an_orderly_end_completes_a_body_without_a_length(self):
        def close(writer):
            writer.close()

        for answer, end, is_complete in (
            (UNFRAMED, close, True),
            (CHUNKED, close, False),
            (WHOLE[:-1], close, False),
            (b"", close, False),
        ):
            async with await self.serve([answer], end) as connection:
                self.assertEqual(
                    (await self.exchange(connection)).complete, is_complete
                )
        async with await self.serve([UNFRAMED], reset_connection) as connection:
            with self.assertRaises(ConnectionResetError):
                await self.exchange(connection)
