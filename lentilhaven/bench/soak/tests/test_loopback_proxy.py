import asyncio
import socket
import unittest
from contextlib import asynccontextmanager

from lentilhaven.bench.soak.loopback_proxy import LinkFault, open_proxy
from lentilhaven.standins.platform import FakeFleet, FakeReplica, FakeStore
from lentilhaven.standins.platform.replica_wire import reset_connection

HOST = "127.0.0.1"


async def echo(reader, writer):
    """Echo lines."""
    while line := await reader.readline():
        writer.write(line)
    writer.close()


def free_port():
    """Return a port of the loopback address that nobody uses."""
    with socket.create_server((HOST, 0)) as probe:
        return probe.getsockname()[1]


@asynccontextmanager
async def through_proxy(serve):
    """Yield a proxy of a server, and a connection through it."""
    server = await asyncio.start_server(serve, HOST, 0)
    port = server.sockets[0].getsockname()[1]
    listen_port = free_port()
    async with open_proxy(HOST, listen_port, HOST, port) as proxy:
        reader, writer = await asyncio.open_connection(HOST, listen_port)
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

    async def test_proxy_of_a_crashed_replica_refuses_connections(self):
        # Gateways must see what they see of a process that has ended.
        async with through_proxy(echo) as (proxy, reader, writer):
            proxy.port = free_port()
            replica = FakeReplica("i-1", "stock", HOST, proxy.port)
            fleet = FakeFleet(FakeStore(), crash_time=0.3, fronts={"i-1": proxy})
            async with fleet.open(replica):
                address = HOST, proxy.listen_port
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /report HTTP/1.1\r\n\r\n")
                await reader.readuntil(b"\r\n\r\n")
                fleet.begin_crash(replica)
                with self.assertRaises(ConnectionResetError):
                    while await reader.read(65_536):
                        pass
                writer.close()
                with self.assertRaises(ConnectionRefusedError):
                    await asyncio.open_connection(*address)
                await asyncio.gather(*fleet.crash_tasks)
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /report HTTP/1.1\r\n\r\n")
                self.assertIn(b" 200 ", await reader.readuntil(b"\r\n\r\n"))
                writer.close()

    async def test_connection_to_a_server_that_has_gone_is_reset(self):
        async with through_proxy(echo) as (proxy, _, _):
            proxy.port = free_port()
            reader, writer = await asyncio.open_connection(HOST, proxy.listen_port)
            with self.assertRaises(ConnectionResetError):
                await reader.read(1)
            writer.close()
