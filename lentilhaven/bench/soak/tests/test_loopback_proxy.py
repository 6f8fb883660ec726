import asyncio
import unittest
from contextlib import asynccontextmanager

from lentilhaven.bench.soak.loopback_proxy import LinkFault, open_proxy
from lentilhaven.standins.platform.replica_wire import reset_connection

HOST = "127.0.0.1"


async def echo(reader, writer):
    """Echo lines."""
    while line := await reader.readline():
        writer.write(line)
    writer.close()


@asynccontextmanager
async def through_proxy(serve):
    """Yield a proxy of a server, and a connection through it."""
    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    probe = await asyncio.start_server(serve, HOST, 0)
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
        async with through_proxy(echo) as (_, reader, writer):
            writer.write(b"one\n")
            self.assertEqual(await reader.readline(), b"one\n")

    async def test_held_bytes_arrive_after_the_fault(self):
        for fault in (
            LinkFault.SILENCE,
            LinkFault.CUT_TO_SERVER,
            LinkFault.CUT_FROM_SERVER,
        ):
            async with through_proxy(echo) as (proxy, reader, writer):
                proxy.set_fault(fault)
                writer.write(b"one\n")
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(reader.readline(), 0.1)
                proxy.set_fault(LinkFault.NONE)
                self.assertEqual(await reader.readline(), b"one\n")

    async def test_reset_closes_connections(self):
        async with through_proxy(echo) as (proxy, reader, writer):
            writer.write(b"one\n")
            await reader.readline()
            proxy.reset()
            with self.assertRaises(ConnectionError):
                await reader.readexactly(1)

    async def test_reset_by_the_server_reaches_the_caller(self):
        # An orderly end would make an answer without a length look whole.
        async def answer_and_reset(reader, writer):
            writer.write(await reader.readline())
            await writer.drain()
            reset_connection(writer)

        async with through_proxy(answer_and_reset) as (_, reader, writer):
            writer.write(b"one\n")
            with self.assertRaises(ConnectionResetError):
                await reader.read()
