import asyncio
import unittest
from contextlib import asynccontextmanager

from lentilhaven.bench.soak.loopback_proxy import LinkFault, open_proxy

HOST = "127.0.0.1"


@asynccontextmanager
async def echo_through_proxy():
    """Yield a proxy of a server that echoes lines, and a connection through it."""

    async def echo(reader, writer):
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(echo, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    probe = await asyncio.start_server(echo, HOST, 0)
    free_port = probe.sockets[0].getsockname()[1]
    probe.close()
    await probe.wait_closed()
    async with open_proxy(HOST, free_port, HOST, port) as proxy:
        reader, writer = await asyncio.open_connection(HOST, free_port)
        yield proxy, reader, writer
        writer.close()
    server.close()


class ProxyTests(unittest.IsolatedAsyncioTestCase):
    async def test_forwards_bytes(self):
        async with echo_through_proxy() as (_, reader, writer):
            writer.write(b"one\n")
            self.assertEqual(await reader.readline(), b"one\n")

    async def test_held_bytes_arrive_after_the_fault(self):
        for fault in (
            LinkFault.SILENCE,
            LinkFault.CUT_TO_SERVER,
            LinkFault.CUT_FROM_SERVER,
        ):
            async with echo_through_proxy() as (proxy, reader, writer):
                proxy.set_fault(fault)
                writer.write(b"one\n")
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(reader.readline(), 0.1)
                proxy.set_fault(LinkFault.NONE)
                self.assertEqual(await reader.readline(), b"one\n")

    async def test_reset_closes_connections(self):
        async with echo_through_proxy() as (proxy, reader, writer):
            writer.write(b"one\n")
            await reader.readline()
            proxy.reset()
            with self.assertRaises(ConnectionError):
                await reader.readexactly(1)
