import asyncio
import socket
import unittest

from structlog.testing import capture_logs

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.upstream.connection import (
    KEEPALIVE_IDLE,
    KEEPALIVE_INTERVAL,
    LIVENESS_OPTIONS,
    USER_TIMEOUT_MS,
    set_liveness_options,
)
from lentilhaven.upstream.connection_pool import (
    CONNECT_TIMEOUT,
    MAX_IDLE_TIME,
    ConnectionPool,
)
from lentilhaven.upstream.exchange import UpstreamError

PORT = 8100
ENDPOINT = Endpoint("e", "s", f"10.1.0.1:{PORT}", "a")
REQUEST = b"GET / HTTP/1.1\r\nRequest-Id: r1\r\n\r\n"


def make_response(body=b"hello", name="r1", extra=""):
    """Return a complete response with a Content-Length header."""
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def run_with_server(script, use):
    """Run `use(pool)` against a server that runs a script on each connection."""

    async def main():
        async def serve(reader, writer):
            try:
                await script(reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            writer.close()

        server = await asyncio.start_server(serve, "10.1.0.1", PORT)
        try:
            return await use(ConnectionPool())
        finally:
            server.close()

    return run_virtual(main())


async def ask(pool, name="r1", timeout=1.0):
    """Send a request and return the status and the body, or None at the timeout."""
    connection = await pool.acquire(ENDPOINT, name, 1.0)
    exchange = connection.begin(name, REQUEST.replace(b"r1", name.encode()), b"")
    deadline = asyncio.get_running_loop().time() + timeout
    head = await exchange.wait_for_head(deadline)
    if head is None:
        connection.abort()
        return None
    body = await exchange.read_body(deadline)
    pool.release(ENDPOINT, connection)
    return head.status, body


async def read_head(reader):
    """Read the head of a request."""
    await reader.readuntil(b"\r\n\r\n")


class ResponseTests(unittest.TestCase):
    def respond(self, *answers, reset=False, end=True):
        async def script(reader, writer):
            await read_head(reader)
            for part in answers:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0.01)
            if reset:
                writer.transport.abort()
            elif not end:
                await asyncio.sleep(10.0)

        return run_with_server(script, ask)

    def test_reads_a_response_with_content_length(self):
        self.assertEqual(self.respond(make_response()), (200, b"hello"))

    def test_reads_a_chunked_response_in_small_parts(self):
        head = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        answer = head + b"5\r\nhello\r\n0\r\n\r\n"
        pieces = [answer[at : at + 7] for at in range(0, len(answer), 7)]
        self.assertEqual(self.respond(*pieces), (200, b"hello"))

    def test_reads_a_response_that_ends_with_the_connection(self):
        answer = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhello"
        self.assertEqual(self.respond(answer), (200, b"hello"))

    def test_rejects_a_truncated_response(self):
        answer = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nhello"
        with self.assertRaises(UpstreamError) as caught:
            self.respond(answer)
        self.assertTrue(caught.exception.sent)

    def test_rejects_a_response_ended_by_a_reset(self):
        with self.assertRaises(UpstreamError):
            self.respond(make_response()[:-1], reset=True)

    def test_rejects_malformed_data(self):
        with self.assertRaises(UpstreamError) as caught:
            self.respond(b"\x00\x01 what is this\r\n\r\n")
        self.assertEqual(caught.exception.kind, "malformed")

    def test_skips_a_response_to_another_request(self):
        answers = make_response(b"late", name="r0") + make_response()
        self.assertEqual(self.respond(answers), (200, b"hello"))

    def test_skips_an_interim_response(self):
        answers = b"HTTP/1.1 100 Continue\r\n\r\n" + make_response()
        self.assertEqual(self.respond(answers), (200, b"hello"))

    def test_ignores_a_success_without_request_id(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
        self.assertIsNone(self.respond(answer, end=False))

    def test_returns_none_at_the_deadline(self):
        self.assertIsNone(self.respond(end=False))


class ReuseTests(unittest.TestCase):
    def count_connections(self, answer, use):
        """Return the result of `use` and the number of connections opened."""
        opened = []

        async def script(reader, writer):
            opened.append(1)
            number = 0
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                name = head.split(b"Request-Id: ")[1].split(b"\r\n")[0].decode()
                number += 1
                writer.write(answer(name))
                await writer.drain()

        return run_with_server(script, use), len(opened)

    def test_reuses_a_connection(self):
        async def use(pool):
            return [await ask(pool, f"r{number}") for number in range(3)]

        found, opened = self.count_connections(
            lambda name: make_response(name=name), use
        )
        self.assertEqual((found, opened), ([(200, b"hello")] * 3, 1))

    def test_reuses_a_new_connection_that_has_carried_no_request(self):
        """A request may be withheld once its connection has been established."""

        async def use(pool):
            await asyncio.sleep(10 * MAX_IDLE_TIME)
            first = await pool.acquire(ENDPOINT, "r1", 1.0)
            pool.release(ENDPOINT, first)
            return await pool.acquire(ENDPOINT, "r2", 1.0) is first

        found, opened = self.count_connections(
            lambda name: make_response(name=name), use
        )
        self.assertEqual((found, opened), (True, 1))

    def test_does_not_reuse_a_connection_that_the_endpoint_closes(self):
        async def use(pool):
            return [await ask(pool, f"r{number}") for number in range(3)]

        def answer(name):
            return make_response(name=name, extra="Connection: close\r\n")

        self.assertEqual(self.count_connections(answer, use)[1], 3)

    def test_does_not_reuse_a_connection_between_its_end_and_its_loss(self):
        # A request in this gap counted as a refusal by a sound replica.
        async def use(pool):
            connection = await pool.acquire(ENDPOINT, "r1", 1.0)
            pool.release(ENDPOINT, connection)
            connection.eof_received()
            other = await pool.acquire(ENDPOINT, "r2", 1.0)
            return other is connection

        async def script(reader, writer):
            await reader.read()

        self.assertFalse(run_with_server(script, use))

    def test_does_not_reuse_a_connection_with_data_after_the_response(self):
        async def use(pool):
            found = []
            for number in range(3):
                found.append(await ask(pool, f"r{number}"))
                await asyncio.sleep(0.01)
            return found

        def answer(name):
            return make_response(name=name) + make_response(b"again", name=name)

        found, opened = self.count_connections(answer, use)
        self.assertEqual((found, opened), ([(200, b"hello")] * 3, 3))

    def test_does_not_reuse_a_connection_idle_for_too_long(self):
        async def use(pool):
            await ask(pool)
            await asyncio.sleep(MAX_IDLE_TIME + 0.1)
            return await ask(pool)

        _, opened = self.count_connections(lambda name: make_response(name=name), use)
        self.assertEqual(opened, 2)

    def test_respects_the_endpoints_keep_alive_timeout(self):
        async def use(pool):
            await ask(pool)
            await asyncio.sleep(1.5)
            return await ask(pool)

        def answer(name):
            return make_response(name=name, extra="Keep-Alive: timeout=2\r\n")

        self.assertEqual(self.count_connections(answer, use)[1], 2)

    def test_does_not_share_connections_between_incarnations(self):
        async def use(pool):
            connection = await pool.acquire(ENDPOINT, "r1", 1.0)
            pool.release(ENDPOINT, connection)
            restarted = Endpoint("e", "s", ENDPOINT.address, "a", born=7)
            return await pool.acquire(restarted, "r2", 1.0) is connection

        found, _ = self.count_connections(lambda name: make_response(name=name), use)
        self.assertFalse(found)


class ConnectTests(unittest.TestCase):
    def test_a_refused_connection_sends_nothing(self):
        async def main():
            await ConnectionPool().acquire(ENDPOINT, "r1", 1.0)

        with self.assertRaises(UpstreamError) as caught:
            run_virtual(main())
        self.assertFalse(caught.exception.sent)
        self.assertLessEqual(CONNECT_TIMEOUT, 1.0)


class RepeatedRequestTests(unittest.TestCase):
    """Guards against a late second copy of an answer to the same request."""

    def test_copy_of_the_earlier_answer_is_not_taken_for_the_new_one(self):
        async def script(reader, writer):
            await read_head(reader)
            writer.write(make_response(b"first"))
            await read_head(reader)
            writer.write(make_response(b"first"))
            writer.write(make_response(b"second"))

        async def use(pool):
            first = await ask(pool)
            second = await ask(pool)
            return first, second, pool.opened

        first, second, opened = run_with_server(script, use)
        # The second request goes out on a connection of its own.
        self.assertEqual((first, second, opened), ((200, b"first"),) * 2 + (2,))


class LivenessTests(unittest.TestCase):
    """
    Guard against waiting for a peer that has lost power until the deadline.

    A silent process acknowledges through its kernel; the kernel tells the two apart.
    """

    def test_kernel_asks_whether_a_silent_peer_is_still_there(self):
        async def main():
            server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            endpoint = Endpoint("e", "s", f"127.0.0.1:{port}", "a")
            connection = await ConnectionPool().acquire(endpoint, "r1", 5.0)
            sock = connection.transport.get_extra_info("socket")
            keepalive = sock.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
            options = [
                sock.getsockopt(socket.IPPROTO_TCP, name)
                for name in (
                    socket.TCP_KEEPIDLE,
                    socket.TCP_KEEPINTVL,
                    socket.TCP_USER_TIMEOUT,
                )
            ]
            connection.abort()
            server.close()
            return keepalive, options

        keepalive, options = asyncio.run(main())
        self.assertTrue(keepalive)
        self.assertEqual(options, [KEEPALIVE_IDLE, KEEPALIVE_INTERVAL, USER_TIMEOUT_MS])

    def test_options_are_independent_of_an_unknown_one(self):
        # The first unknown option left the others unset, without a line in the log.
        for unknown in (it[2] for it in LIVENESS_OPTIONS):
            with self.subTest(unknown), capture_logs() as lines:
                sock = OldSocket(unknown)
                set_liveness_options(sock)
                self.assertEqual(len(sock.options), len(LIVENESS_OPTIONS) - 1)
                self.assertEqual(
                    [it["event"] for it in lines], ["socket option not set"]
                )


class OldSocket:
    """A socket of a system that does not know one option."""

    def __init__(self, unknown):
        self.unknown = unknown
        self.options = []

    def setsockopt(self, level, number, value):
        if number == self.unknown:
            raise OSError("Protocol not available")
        self.options.append(number)
