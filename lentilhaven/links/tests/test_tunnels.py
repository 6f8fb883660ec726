"""Connections to an endpoint through another gateway."""

import asyncio
import contextlib
import unittest

import attrs

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.links.handshake import (
    TunnelError,
    TunnelRefusedError,
    TunnelRequest,
)
from lentilhaven.links.tunnel_client import open_tunnel
from lentilhaven.links.tunnel_server import (
    HANDSHAKE_TIMEOUT,
    MAX_BUFFER_BYTES,
    TunnelServer,
    open_tunnel_listener,
)
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.upstream.connect import connect_tcp

ENDPOINT = Endpoint("i-1", "stock", "10.3.0.1:8000", "a", born=17)
RELAY = "10.0.0.2:7100"
REQUEST = TunnelRequest(ENDPOINT.incarnation, "vm-1")


class Recorder(asyncio.Protocol):
    """Records what a protocol at the end of a tunnel is told."""

    def __init__(self):
        self.data = b""
        self.events = []
        self.transport = None

    def connection_made(self, transport):
        self.transport = transport

    def data_received(self, data):
        self.data += data

    def eof_received(self):
        self.events.append("eof")

    def connection_lost(self, exc):
        self.events.append(type(exc).__name__ if exc else "lost")

    def fail(self, kind, detail):
        self.events.append(kind)

    def retire(self):
        self.events.append("retired")


def find(request):
    """Return the endpoint of a request."""
    return (
        ENDPOINT
        if request.incarnation == ENDPOINT.incarnation
        else (TunnelError.UNKNOWN)
    )


def play(serve, use, find_endpoint=find, max_tunnels=8, **options):
    """Run ``use(recorder, server)`` through a gateway to ``serve(reader, writer)``."""

    async def main():
        server = TunnelServer(find_endpoint, connect_tcp, max_tunnels, **options)
        listener = None

        async def handle(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await serve(reader, writer)

        if serve is not None:
            listener = await asyncio.start_server(handle, "10.3.0.1", 8000)
        async with open_tunnel_listener(server, "10.0.0.2", 7100):
            recorder = Recorder()
            found = await use(recorder, server)
        if listener is not None:
            listener.close()
        return found

    return run_virtual(main())


async def echo(reader, writer):
    while data := await reader.read(65536):
        writer.write(data)
        await writer.drain()
    writer.close()


class CopyTests(unittest.TestCase):
    def test_bytes_are_copied_both_ways(self):
        async def use(recorder, server):
            await open_tunnel(connect_tcp, RELAY, REQUEST, recorder)
            for _ in range(50):
                recorder.transport.write(b"x" * 3000)
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.5)
            return recorder.data, list(recorder.events)

        self.assertEqual(play(echo, use), (b"x" * 150_000, []))

    def test_orderly_end_of_the_endpoint_is_told(self):
        async def serve(reader, writer):
            writer.write(b"whole")
            writer.close()

        async def use(recorder, server):
            await open_tunnel(connect_tcp, RELAY, REQUEST, recorder)
            await asyncio.sleep(0.5)
            return recorder.data, recorder.events, len(server.tunnels)

        self.assertEqual(play(serve, use), (b"whole", ["eof", "lost"], 0))

    def test_loss_of_the_gateway_between_is_no_orderly_end(self):
        async def use(recorder, server):
            await open_tunnel(connect_tcp, RELAY, REQUEST, recorder)
            recorder.transport.write(b"part")
            await asyncio.sleep(0.1)
            for tunnel in list(server.tunnels):
                tunnel.abort()
            await asyncio.sleep(0.1)
            return recorder.data, recorder.events

        self.assertEqual(play(echo, use), (b"part", ["relay-lost", "lost"]))

    def test_closing_ends_the_connection_to_the_endpoint(self):
        ended = []

        async def serve(reader, writer):
            await reader.read(1)
            ended.append(True)

        async def use(recorder, server):
            await open_tunnel(connect_tcp, RELAY, REQUEST, recorder)
            await asyncio.sleep(0.1)
            recorder.transport.abort()
            await asyncio.sleep(0.1)
            return list(ended), len(server.tunnels)

        self.assertEqual(play(serve, use), ([True], 0))

    def test_what_is_not_taken_is_not_held(self):
        """An endpoint sends without end to a gateway that does not read."""
        sent = [0]

        async def serve(reader, writer):
            while True:
                writer.write(bytes(10_000))
                await writer.drain()
                sent[0] += 10_000

        async def use(recorder, server):
            await open_tunnel(connect_tcp, RELAY, REQUEST, recorder)
            recorder.transport.pause_reading()
            await asyncio.sleep(5.0)
            (tunnel,) = server.tunnels
            return tunnel.transport.get_write_buffer_size()

        held = play(serve, use)
        self.assertLess(held, 3 * MAX_BUFFER_BYTES)


class LeavingTests(unittest.TestCase):
    """Guards against requests that are sent through a gateway until it ends."""

    def play_leaving(self, request=REQUEST, leaves_at_once=False):
        """Return what the end of a tunnel is told by a gateway that stops."""
        is_leaving = []

        def admit(request):
            if leaves_at_once:
                is_leaving.append(True)
            return find(request)

        async def use(recorder, server):
            await open_tunnel(connect_tcp, RELAY, request, recorder)
            if not leaves_at_once:
                server.announce_leaving()
            recorder.transport.write(b"rest")
            await asyncio.sleep(0.5)
            return recorder.data, list(recorder.events)

        return play(echo, use, admit, is_leaving=lambda: bool(is_leaving))

    def test_exchange_in_progress_goes_on(self):
        self.assertEqual(self.play_leaving(), (b"rest", ["retired"]))

    def test_stop_that_begins_while_the_endpoint_is_connected(self):
        found = self.play_leaving(leaves_at_once=True)
        self.assertEqual(found, (b"rest", ["retired"]))

    def test_earlier_release_is_not_told(self):
        request = attrs.evolve(REQUEST, takes_notices=False)
        self.assertEqual(self.play_leaving(request), (b"rest", []))


class RefusalTests(unittest.TestCase):
    def refuse(self, serve=echo, request=REQUEST, **options):
        """Return the reason for which no endpoint is connected."""

        async def use(recorder, server):
            try:
                await open_tunnel(connect_tcp, RELAY, request, recorder)
            except TunnelRefusedError as error:
                return error.reason
            return None

        return play(serve, use, **options)

    def test_endpoint_that_is_not_known(self):
        request = TunnelRequest(("i-1", 18), "vm-1")
        self.assertIs(self.refuse(request=request), TunnelError.UNKNOWN)

    def test_port_on_which_nothing_listens(self):
        self.assertIs(self.refuse(serve=None), TunnelError.REFUSED)

    def test_refused_connection_of_a_gateway_that_is_cut_off_shows_nothing(self):
        found = self.refuse(serve=None, is_doubtful=lambda: True)
        self.assertIs(found, TunnelError.UNREACHED)

    def test_gateway_that_terminates(self):
        self.assertIs(self.refuse(is_leaving=lambda: True), TunnelError.BUSY)

    def test_too_many_connections(self):
        async def use(recorder, server):
            found = []
            for _ in range(4):
                try:
                    await open_tunnel(connect_tcp, RELAY, REQUEST, Recorder())
                    found.append(None)
                except TunnelRefusedError as error:
                    found.append(error.reason)
            return found

        found = play(echo, use, max_tunnels=2)
        self.assertEqual(found, [None, None, TunnelError.BUSY, TunnelError.BUSY])


class HostileTests(unittest.TestCase):
    def send(self, data, seconds=0.5):
        """Return what is answered to bytes, and the connections that are left."""

        async def use(recorder, server):
            reader, writer = await asyncio.open_connection("10.0.0.2", 7100)
            writer.write(data)
            await asyncio.sleep(seconds)
            left = len(server.tunnels)
            writer.close()
            return await reader.read(200), left

        return play(echo, use)

    def test_malformed_requests(self):
        for data in (b"GET / HTTP/1.1\r\n", b"{}\n", b"[]\n", b"\xff\n", b"x" * 5000):
            with self.subTest(data=data[:20]):
                answer, left = self.send(data)
                self.assertIn(b"malformed", answer)
                self.assertEqual(left, 0)

    def test_request_that_does_not_come(self):
        answer, left = self.send(b'{"endpoint"', HANDSHAKE_TIMEOUT + 0.1)
        self.assertEqual((answer, left), (b"", 0))
