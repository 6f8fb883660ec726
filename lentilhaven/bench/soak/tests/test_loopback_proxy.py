import asyncio
import unittest
from contextlib import asynccontextmanager

from lentilhaven.bench.soak.loopback_proxy import Harm, open_proxy

HOST = "127.0.0.1"


@asynccontextmanager
async def echo_through_proxy():
    """Yield a proxy before a server that repeats lines, and a connection to it."""

    async def repeat(reader, writer):
        while line := await reader.readline():
            writer.write(line)
        writer.close()

    server = await asyncio.start_server(repeat, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    probe = await asyncio.start_server(repeat, HOST, 0)
    free = probe.sockets[0].getsockname()[1]
    probe.close()
    await probe.wait_closed()
    async with open_proxy(HOST, free, HOST, port) as proxy:
        reader, writer = await asyncio.open_connection(HOST, free)
        yield proxy, reader, writer
        writer.close()
    server.close()


class ProxyTests(unittest.IsolatedAsyncioTestCase):
    async def test_it_passes_bytes_on(self):
        async with echo_through_proxy() as (_, reader, writer):
            writer.write(b"one\n")
            self.assertEqual(await reader.readline(), b"one\n")

    async def test_what_a_cut_holds_back_comes_when_it_ends(self):
        for harm in (Harm.SILENCE, Harm.CUT_TO_SERVER, Harm.CUT_FROM_SERVER):
            async with echo_through_proxy() as (proxy, reader, writer):
                proxy.set_harm(harm)
                writer.write(b"one\n")
                with self.assertRaises(TimeoutError):
                    await asyncio.wait_for(reader.readline(), 0.1)
                proxy.set_harm(Harm.NONE)
                self.assertEqual(await reader.readline(), b"one\n")

    async def test_a_reset_ends_connections(self):
        async with echo_through_proxy() as (proxy, reader, writer):
            writer.write(b"one\n")
            await reader.readline()
            proxy.reset()
            with self.assertRaises(ConnectionError):
                await reader.readexactly(1)
