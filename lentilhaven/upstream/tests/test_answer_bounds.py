import asyncio
import tracemalloc
import unittest

from lentilhaven.upstream.answer_memory import (
    MAX_HEAD_BYTES,
    NO_MEMORY,
    TOO_LARGE,
    AnswerMemory,
)
from lentilhaven.upstream.connection_pool import ConnectionPool
from lentilhaven.upstream.exchange import MAX_UNREAD_BYTES, UpstreamError
from lentilhaven.upstream.tests.wire import HEAD, UNFRAMED, begin, run_at_the_wire

CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"

#: Bytes in each write of an answer without end.
WRITE_BYTES = 65_536

#: Callers that ask at the same time.
CALLERS = 50

#: Limit of what all answers in progress may hold, in bytes.
LIMIT = 8_000_000

#: Bytes that arrive before a task has run which frees others, and those of the server.
SLACK_BYTES = 2 * CALLERS * MAX_UNREAD_BYTES

#: Beginnings of answers, each with what follows it without end.
ENDLESS = {
    "fields": (HEAD, b"A: b\r\n" * 1000),
    "value": (HEAD + b"A: ", b"x" * 5000),
    "name": (HEAD, b"x" * 5000),
    "reason": (b"HTTP/1.1 200 ", b"x" * 5000),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 200),
    "trailers": (CHUNKED + b"0\r\n", b"A: b\r\n" * 1000),
    "trailer": (CHUNKED + b"0\r\nA: ", b"x" * 5000),
    "chunk extension": (CHUNKED + b"5;a=", b"x" * 5000),
    "body": (UNFRAMED, b"x" * WRITE_BYTES),
    "chunks": (CHUNKED, b"1000\r\n%b\r\n" % (b"x" * 4096)),
    "length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * WRITE_BYTES),
    "other answer": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: r0\r\nConnection: close\r\n\r\n",
        b"x" * WRITE_BYTES,
    ),
}


def send_endlessly(start, rest):
    """Return a server's script that sends bytes until the gateway closes."""

    async def script(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(start)
        while not writer.is_closing():
            writer.write(rest)
            await writer.drain()

    return script


async def ask(pool, endpoint, number):
    """Return the kind of the failure of one request."""
    connection = await pool.acquire(endpoint, f"r{number}", 1.0)
    head = f"GET / HTTP/1.1\r\nRequest-Id: r{number}\r\n\r\n".encode()
    deadline = asyncio.get_running_loop().time() + 20.0
    try:
        with connection.exchanging(f"r{number}", head, b"") as exchange:
            await exchange.wait_for_head(deadline)
            body = await exchange.read_body(deadline)
            return "timeout" if body is None else "whole"
    except UpstreamError as error:
        return error.kind
    finally:
        connection.abort()


class EndlessAnswerTests(unittest.TestCase):
    """Guard against holding an answer without end until the deadline."""

    def ask_many(self, start, rest, callers):
        """Return the kinds of failure, the shared memory and the allocated peak."""
        pool = ConnectionPool(memory=AnswerMemory(LIMIT))

        async def use(pool, endpoint):
            tracemalloc.start()
            try:
                kinds = await asyncio.gather(
                    *(ask(pool, endpoint, 1) for _ in range(callers))
                )
                return set(kinds), tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()

        kinds, peak = run_at_the_wire(send_endlessly(start, rest), use, pool)
        return kinds, pool.memory, peak

    def test_each_part_is_bounded(self):
        for name, (start, rest) in ENDLESS.items():
            with self.subTest(name=name):
                kinds, memory, _ = self.ask_many(start, rest, 1)
                self.assertEqual(kinds, {TOO_LARGE})
                self.assertLessEqual(memory.peak, memory.answer_limit + WRITE_BYTES * 8)
                self.assertEqual((memory.held, memory.holdings), (0, set()))

    def test_many_answers_together_are_bounded(self):
        for name in ("value", "body", "trailers"):
            with self.subTest(name=name):
                kinds, memory, peak = self.ask_many(*ENDLESS[name], CALLERS)
                self.assertLessEqual(kinds, {TOO_LARGE, NO_MEMORY})
                self.assertLessEqual(memory.peak, LIMIT)
                self.assertLess(peak, LIMIT + SLACK_BYTES)
                self.assertEqual((memory.held, memory.holdings), (0, set()))


class SlowReaderTests(unittest.TestCase):
    """Guard against reading on while nobody takes what has arrived."""

    def test_reading_pauses(self):
        async def use(pool, endpoint):
            connection, exchange, deadline = await begin(pool, endpoint)
            await exchange.wait_for_head(deadline)
            await asyncio.sleep(0.3)
            held = pool.memory.held
            connection.abort()
            exchange.close()
            return held, pool.memory.held

        script = send_endlessly(*ENDLESS["body"])
        held, left = run_at_the_wire(script, use)
        self.assertGreater(held, MAX_UNREAD_BYTES)
        # One read more than the limit: 256 KiB.
        self.assertLessEqual(held, 2 * MAX_UNREAD_BYTES + MAX_HEAD_BYTES)
        self.assertEqual(left, 0)


class AnswerMemoryTests(unittest.TestCase):
    """Guard against sound answers that are given up for those without end."""

    def setUp(self):
        self.memory = AnswerMemory(1000)
        self.given_up = []

    def open(self, name, size):
        holding = self.memory.open(lambda kind, detail: self.given_up.append(name))
        self.memory.resize(holding, size)
        return holding

    def test_the_largest_is_given_up(self):
        self.open("large", 600)
        self.open("small", 300)
        self.open("new", 200)
        self.assertEqual((self.given_up, self.memory.held), (["large"], 500))

    def test_one_that_has_ended_counts_no_longer(self):
        first = self.open("first", 900)
        self.memory.close(first)
        self.memory.resize(first, 900)
        self.open("second", 900)
        self.assertEqual((self.given_up, self.memory.held), ([], 900))
