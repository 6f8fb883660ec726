"""Answers of endpoints that break off within their heads, with real bytes."""

import asyncio
import socket
import unittest
from contextlib import asynccontextmanager

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.links.handshake import TunnelRequest
from lentilhaven.links.tunnel_client import open_tunnel
from lentilhaven.links.tunnel_server import TunnelServer, open_tunnel_listener
from lentilhaven.upstream.connect import connect_tcp
from lentilhaven.upstream.connection_pool import ConnectionPool
from lentilhaven.upstream.exchange import UpstreamError
from lentilhaven.upstream.tests.wire import (
    SETTLE_TIME,
    begin,
    close_in_order,
    reset,
)

#: Heads whose every part may be the last that arrives.
HEADS = {
    name: b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n" + fields + b"\r\n\r\n"
    for name, fields in {
        "length": b"Content-Length: 5",
        "no length": b"Connection: close",
        "chunks": b"Transfer-Encoding: chunked",
    }.items()
}
HEADS["interim"] = b"HTTP/1.1 100 Continue\r\n\r\n" + HEADS["length"]
ENDS = {"close": close_in_order, "reset": reset}

#: A whole answer, after which the connection may be used again.
WHOLE = b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\nContent-Length: 5\r\n\r\nfirst"


class CuttingEndpoint:
    """
    An endpoint whose answers break off.

    Attributes
    ----------
    cut : bytes
        What it sends of the next answer.
    end : callable
        Ends the connection after it.
    whole_first : bool
        Whether it sends a whole answer first on each connection.
    arrivals : int
        Number of requests.
    """

    def __init__(self):
        self.cut, self.end, self.whole_first, self.arrivals = b"", reset, False, 0

    async def serve(self, reader, writer):
        """Serve a connection."""
        try:
            if self.whole_first:
                await self.answer(reader, writer, WHOLE)
            await self.answer(reader, writer, self.cut)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.end(writer)

    async def answer(self, reader, writer, answer):
        """Read a request, and send an answer with its id."""
        head = await reader.readuntil(b"\r\n\r\n")
        self.arrivals += 1
        request_id = head.split(b"Request-Id: ")[1].split(b"\r\n")[0]
        writer.write(answer.replace(b"%b", request_id))
        await writer.drain()


async def ask(pool, endpoint, request_id):
    """Return the body of an answer, or the kind of its error."""
    connection, exchange, deadline = await begin(
        pool, endpoint, "POST", request_id=request_id
    )
    try:
        await exchange.wait_for_head(deadline)
        body = await exchange.read_body(deadline)
    except UpstreamError as error:
        return error.kind
    pool.release(endpoint, connection)
    return body


def play(use):
    """Run `use(cutting, endpoint)` with an endpoint on the loopback interface."""

    async def main():
        cutting = CuttingEndpoint()
        server = await asyncio.start_server(cutting.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            return await use(cutting, Endpoint("e", "s", f"127.0.0.1:{port}", "a"))
        finally:
            server.close()

    return asyncio.run(main())


@asynccontextmanager
async def open_relay(endpoint):
    """Yield a pool whose connections pass through another gateway, and its server."""
    server = TunnelServer(lambda request: endpoint, connect_tcp, 1000)
    pool = ConnectionPool()
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        port = probe.getsockname()[1]

    async def establish(endpoint):
        connection = pool.make_connection(endpoint, relayed=True)
        request = TunnelRequest(endpoint.incarnation, "vm-1")
        await open_tunnel(connect_tcp, f"127.0.0.1:{port}", request, connection)
        return connection

    pool.establish = establish
    async with open_tunnel_listener(server, "127.0.0.1", port):
        yield pool, server


async def cut_everywhere(cutting, endpoint, pool):
    """Cut each head after each byte; return the outcomes that are no errors."""
    wrong = []
    for name, head in HEADS.items():
        for size in range(len(head)):
            for end_name, end in ENDS.items():
                cutting.cut, cutting.end = head[:size], end
                before = cutting.arrivals
                if cutting.whole_first:
                    await ask(pool, endpoint, "r0")
                found = await ask(pool, endpoint, "r1")
                arrivals = cutting.arrivals - before - cutting.whole_first
                if found not in ("closed", "reset") or arrivals != 1:
                    wrong.append((name, size, end_name, found, arrivals))
    return wrong


class CutHeadTests(unittest.TestCase):
    """Guards against a short answer that looks whole, and a request sent twice."""

    def test_new_connection(self):
        async def use(cutting, endpoint):
            return await cut_everywhere(cutting, endpoint, ConnectionPool())

        self.assertEqual(play(use), [])

    def test_connection_that_has_carried_an_answer(self):
        async def use(cutting, endpoint):
            cutting.whole_first = True
            return await cut_everywhere(cutting, endpoint, ConnectionPool())

        self.assertEqual(play(use), [])

    def test_connection_through_another_gateway(self):
        async def use(cutting, endpoint):
            cutting.whole_first = True
            async with open_relay(endpoint) as (pool, _):
                return await cut_everywhere(cutting, endpoint, pool)

        self.assertEqual(play(use), [])

    def test_gateway_between_ends_within_an_answer_without_a_length(self):
        """Guards against its end being taken for that of the answer."""

        async def use(cutting, endpoint):
            found = []
            head = HEADS["no length"]
            for cut in (head[:-2], head, head + b"hel"):
                cutting.cut = cut
                cutting.end = lambda writer: None
                async with open_relay(endpoint) as (pool, server):
                    asking = asyncio.ensure_future(ask(pool, endpoint, "r1"))
                    await asyncio.sleep(SETTLE_TIME)
                    for tunnel in list(server.tunnels):
                        tunnel.abort()
                    found.append(await asking)
            return found

        self.assertEqual(play(use), ["relay-lost"] * 3)
