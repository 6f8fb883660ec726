import asyncio
import unittest

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.upstream.connection_pool import (
    CONNECT_TIMEOUT,
    MOST_IDLE,
    ConnectionPool,
)
from lentilhaven.upstream.exchange import UpstreamError

PORT = 8100
ENDPOINT = Endpoint("e", "s", f"10.1.0.1:{PORT}", "a")
REQUEST = b"GET / HTTP/1.1\r\nRequest-Id: r1\r\n\r\n"


def whole(body=b"hello", name="r1", extra=""):
    """Return an answer with its length."""
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n{extra}"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def with_script(script, use):
    """Run `use(pool)` against a server that plays a script on each connection."""

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
    """Send a request and return the status and the whole body."""
    connection = await pool.acquire(ENDPOINT, 1.0)
    exchange = connection.begin(name, REQUEST.replace(b"r1", name.encode()), b"")
    until = asyncio.get_running_loop().time() + timeout
    head = await exchange.wait_for_head(until)
    if head is None:
        connection.abort()
        return None
    body = await exchange.read_body(until)
    pool.release(ENDPOINT, connection)
    return head.status, body


async def read_head(reader):
    """Read a request of these tests."""
    await reader.readuntil(b"\r\n\r\n")


class AnswerTests(unittest.TestCase):
    def play(self, *answers, reset=False, end=True):
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

        return with_script(script, ask)

    def test_an_answer_with_its_length(self):
        self.assertEqual(self.play(whole()), (200, b"hello"))

    def test_one_in_pieces_and_in_chunks(self):
        head = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        answer = head + b"5\r\nhello\r\n0\r\n\r\n"
        pieces = [answer[at : at + 7] for at in range(0, len(answer), 7)]
        self.assertEqual(self.play(*pieces), (200, b"hello"))

    def test_one_that_ends_with_its_connection(self):
        answer = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\nhello"
        self.assertEqual(self.play(answer), (200, b"hello"))

    def test_one_that_is_cut_off_is_no_answer(self):
        answer = b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nContent-Length: 9\r\n\r\nhello"
        with self.assertRaises(UpstreamError) as caught:
            self.play(answer)
        self.assertTrue(caught.exception.sent)

    def test_a_reset_is_no_end(self):
        with self.assertRaises(UpstreamError):
            self.play(whole()[:-1], reset=True)

    def test_bytes_that_are_no_answer(self):
        with self.assertRaises(UpstreamError) as caught:
            self.play(b"\x00\x01 what is this\r\n\r\n")
        self.assertEqual(caught.exception.kind, "malformed")

    def test_an_answer_to_another_request_is_passed_over(self):
        answers = whole(b"late", name="r0") + whole()
        self.assertEqual(self.play(answers), (200, b"hello"))

    def test_an_interim_answer_is_passed_over(self):
        answers = b"HTTP/1.1 100 Continue\r\n\r\n" + whole()
        self.assertEqual(self.play(answers), (200, b"hello"))

    def test_a_success_without_an_id_is_not_taken(self):
        answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
        self.assertIsNone(self.play(answer, end=False))

    def test_silence_is_told_by_the_time(self):
        self.assertIsNone(self.play(end=False))


class ReuseTests(unittest.TestCase):
    def count_connections(self, answer, use):
        """Return what `use` returns, and how many connections were opened."""
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

        return with_script(script, use), len(opened)

    def test_a_connection_serves_one_request_after_the_other(self):
        async def use(pool):
            return [await ask(pool, f"r{number}") for number in range(3)]

        found, opened = self.count_connections(lambda name: whole(name=name), use)
        self.assertEqual((found, opened), ([(200, b"hello")] * 3, 1))

    def test_one_that_closes_is_not_used_again(self):
        async def use(pool):
            return [await ask(pool, f"r{number}") for number in range(3)]

        def answer(name):
            return whole(name=name, extra="Connection: close\r\n")

        self.assertEqual(self.count_connections(answer, use)[1], 3)

    def test_bytes_after_an_answer_spoil_the_connection(self):
        async def use(pool):
            found = []
            for number in range(3):
                found.append(await ask(pool, f"r{number}"))
                await asyncio.sleep(0.01)
            return found

        def answer(name):
            return whole(name=name) + whole(b"again", name=name)

        found, opened = self.count_connections(answer, use)
        self.assertEqual((found, opened), ([(200, b"hello")] * 3, 3))

    def test_one_that_was_idle_for_long_is_not_trusted(self):
        async def use(pool):
            await ask(pool)
            await asyncio.sleep(MOST_IDLE + 0.1)
            return await ask(pool)

        _, opened = self.count_connections(lambda name: whole(name=name), use)
        self.assertEqual(opened, 2)

    def test_the_endpoints_own_timeout_is_respected(self):
        async def use(pool):
            await ask(pool)
            await asyncio.sleep(1.5)
            return await ask(pool)

        def answer(name):
            return whole(name=name, extra="Keep-Alive: timeout=2\r\n")

        self.assertEqual(self.count_connections(answer, use)[1], 2)

    def test_another_incarnation_gets_a_connection_of_its_own(self):
        async def use(pool):
            connection = await pool.acquire(ENDPOINT, 1.0)
            pool.release(ENDPOINT, connection)
            reborn = Endpoint("e", "s", ENDPOINT.address, "a", born=7)
            return await pool.acquire(reborn, 1.0) is connection

        found, _ = self.count_connections(lambda name: whole(name=name), use)
        self.assertFalse(found)


class ConnectTests(unittest.TestCase):
    def test_a_refused_connection_has_sent_nothing(self):
        async def main():
            await ConnectionPool().acquire(ENDPOINT, 1.0)

        with self.assertRaises(UpstreamError) as caught:
            run_virtual(main())
        self.assertFalse(caught.exception.sent)
        self.assertLessEqual(CONNECT_TIMEOUT, 1.0)
