import asyncio
import unittest

from lentilhaven.upstream.exchange import MAX_UNREAD_BYTES, UpstreamError
from lentilhaven.upstream.tests.wire import (
    HEAD,
    LARGE_BYTES,
    SETTLE_TIME,
    TIMEOUT,
    UNFRAMED,
    answer_of,
    begin,
    close_in_order,
    read_answer,
    reset,
    run_at_the_wire,
)


class UnframedAnswerTests(unittest.TestCase):
    """
    Guard against answers cut by a reset that look whole, and against whole ones lost.

    Such an answer has neither a length nor chunks and ends with its connection.
    """

    def test_whole_if_closed_in_order(self):
        self.assertEqual(answer_of(UNFRAMED + b"hello"), (200, b"hello"))
        self.assertEqual(answer_of(UNFRAMED, b"hel", b"lo"), (200, b"hello"))
        self.assertEqual(answer_of(UNFRAMED), (200, b""))

    def test_whole_if_it_ends_late(self):
        self.assertEqual(answer_of(UNFRAMED + b"hello", delay=0.3), (200, b"hello"))

    def test_not_whole_if_reset(self):
        for delay in (0.0, SETTLE_TIME):
            for parts in ((UNFRAMED + b"hello",), (UNFRAMED, b"hel", b"lo")):
                with self.subTest(delay=delay, parts=parts):
                    with self.assertRaises(UpstreamError) as caught:
                        answer_of(*parts, end=reset, delay=delay)
                    self.assertEqual(caught.exception.kind, "reset")

    def test_not_whole_if_closed_within_the_head(self):
        with self.assertRaises(UpstreamError):
            answer_of(UNFRAMED[:-2])

    def test_whole_if_the_end_came_while_reading_was_paused(self):
        body = b"x" * LARGE_BYTES
        for pause in (SETTLE_TIME, 0.3):
            found = answer_of(UNFRAMED + body, pause=pause)
            self.assertEqual(found, (200, body))

    def test_not_whole_if_reset_while_reading_was_paused(self):
        for size in (1024, MAX_UNREAD_BYTES + 1024, LARGE_BYTES):
            with self.subTest(size=size), self.assertRaises(UpstreamError):
                answer_of(UNFRAMED + b"x" * size, end=reset, pause=0.2)

    def test_early_hints_and_continue_are_no_answer(self):
        interim = b"HTTP/1.1 100 Continue\r\n\r\n"
        hints = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        for parts in ((interim, UNFRAMED + b"hello"), (hints + interim + UNFRAMED,)):
            body = b"hello" if len(parts) == 2 else b""
            self.assertEqual(answer_of(*parts), (200, body))
        for only in (interim, hints):
            with self.assertRaises(UpstreamError):
                answer_of(only)

    def test_transfer_coding_other_than_chunks_ends_with_the_connection(self):
        head = HEAD + b"Transfer-Encoding: identity\r\n\r\n"
        with self.assertRaises(UpstreamError):
            answer_of(head + b"hello", end=reset, delay=SETTLE_TIME)


class HeadRequestTests(unittest.TestCase):
    """Guard against waiting for the body that an answer to HEAD does not have."""

    def test_head_of_the_answer_is_all(self):
        for field in (b"Content-Length: 9", b"Transfer-Encoding: chunked", b"A: b"):
            with self.subTest(field=field):
                answer = HEAD + field + b"\r\n\r\n"
                found = answer_of(answer, method="HEAD", delay=TIMEOUT)
                self.assertEqual(found, (200, b""))

    def test_connection_carries_the_next_request(self):
        async def script(reader, writer):
            for body in (b"", b"hello"):
                name = (await reader.readuntil(b"\r\n\r\n")).split(b"Request-Id: ")[1]
                writer.write(b"HTTP/1.1 200 OK\r\nRequest-Id: " + name.split()[0])
                writer.write(b"\r\nContent-Length: 5\r\n\r\n" + body)

        async def use(pool, endpoint):
            connection, exchange, deadline = await begin(pool, endpoint, "HEAD")
            first = await exchange.read_body(deadline)
            pool.release(endpoint, connection)
            second = await read_answer(pool, endpoint, request_id="r2")
            return first, second, pool.opened

        found = run_at_the_wire(script, use)
        self.assertEqual(found, (b"", (200, b"hello"), 1))

    def test_body_after_it_ends_the_connection(self):
        answer = HEAD + b"Content-Length: 5\r\n\r\nhello"

        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await reader.read()

        async def use(pool, endpoint):
            connection, exchange, deadline = await begin(pool, endpoint, "HEAD")
            body = await exchange.read_body(deadline)
            await asyncio.sleep(SETTLE_TIME)
            return body, connection.usable

        self.assertEqual(run_at_the_wire(script, use), (b"", False))


class EarlyAnswerTests(unittest.TestCase):
    """Guard against losing or mixing an answer that came before the whole request."""

    REQUEST_BODY = b"r" * LARGE_BYTES

    def answer_early(self, answer, end):
        async def script(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            await asyncio.sleep(SETTLE_TIME)
            end(writer)
            await asyncio.sleep(SETTLE_TIME)

        async def use(pool, endpoint):
            connection, exchange, deadline = await begin(
                pool, endpoint, "POST", self.REQUEST_BODY
            )
            await exchange.wait_for_head(deadline)
            body = await exchange.read_body(deadline)
            return body, connection.usable

        return run_at_the_wire(script, use)

    def test_framed_answer_is_whole_and_its_connection_not_used_again(self):
        answer = HEAD + b"Content-Length: 5\r\n\r\nhello"
        for end in (close_in_order, reset, lambda writer: None):
            with self.subTest(end=end):
                self.assertEqual(self.answer_early(answer, end), (b"hello", False))

    def test_unframed_answer_is_whole_if_only_its_direction_is_closed(self):
        def close_direction(writer):
            writer.write_eof()

        found = self.answer_early(UNFRAMED + b"hello", close_direction)
        self.assertEqual(found, (b"hello", False))

    def test_unframed_answer_is_not_whole_if_reset(self):
        with self.assertRaises(UpstreamError):
            self.answer_early(UNFRAMED + b"hello", reset)
