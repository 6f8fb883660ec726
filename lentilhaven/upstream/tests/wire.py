"""Answers with real bytes, ends and resets on the loopback interface."""

import asyncio
import socket
import struct

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.upstream.connection_pool import ConnectionPool
from lentilhaven.upstream.exchange import MAX_UNREAD_BYTES

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n"
UNFRAMED = HEAD + b"Connection: close\r\n\r\n"

#: Seconds within which an answer must have ended, on a busy machine too.
TIMEOUT = 5.0

#: Seconds after which the bytes that were sent have arrived.
SETTLE_TIME = 0.05

#: Bytes of a body that exceeds what is read ahead and the buffers of the kernel.
LARGE_BYTES = 24 * MAX_UNREAD_BYTES


def close_in_order(writer):
    """Close a connection after what was written."""
    writer.close()


def reset(writer):
    """Close a connection with a reset; what was written may be lost."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def run_at_the_wire(script, use, pool=None):
    """Run `use(pool, endpoint)` against a server on the loopback interface."""

    async def main():
        async def serve(reader, writer):
            try:
                await script(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            endpoint = Endpoint("e", "s", f"127.0.0.1:{port}", "a")
            return await use(pool or ConnectionPool(), endpoint)
        finally:
            server.close()

    return asyncio.run(main())


async def begin(pool, endpoint, method="GET", body=b"", request_id="r1"):
    """Send a request; return the connection, the exchange and the deadline."""
    connection = await pool.acquire(endpoint, request_id, 1.0)
    head = f"{method} / HTTP/1.1\r\nRequest-Id: {request_id}\r\n"
    head += f"Content-Length: {len(body)}\r\n\r\n"
    exchange = connection.begin(request_id, head.encode(), body)
    return connection, exchange, asyncio.get_running_loop().time() + TIMEOUT


async def read_answer(pool, endpoint, pause=0.0, **options):
    """Return the status and the body; read the body `pause` seconds after the head."""
    _, exchange, deadline = await begin(pool, endpoint, **options)
    head = await exchange.wait_for_head(deadline)
    await asyncio.sleep(pause)
    body = await exchange.read_body(deadline)
    return head.status, body


def answer_of(*parts, end=close_in_order, pause=0.0, delay=0.0, **options):
    """
    Return what the gateway reads of an answer.

    Parameters
    ----------
    parts : bytes
        Parts of the answer, which the server writes with a pause between them.
    end : callable
        Ends the connection.
    pause : float
        Seconds after the head at which the body is read.
    delay : float
        Seconds between the last part and the end.
    """

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.005)
        await asyncio.sleep(delay)
        end(writer)

    async def use(pool, endpoint):
        return await read_answer(pool, endpoint, pause, **options)

    return run_at_the_wire(script, use)
