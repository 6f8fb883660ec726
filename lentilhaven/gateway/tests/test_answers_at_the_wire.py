import asyncio
import unittest

from lentilhaven.gateway.tests.wire_testbed import run_on_wire
from lentilhaven.upstream.tests.wire import SETTLE_TIME, close_in_order, reset

EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"

#: Last chunk of an answer that is whole.
LAST_CHUNK = b"\r\n0\r\n\r\n"

#: Callers that meet an answer without end at the same time.
CALLERS = 50


def head_of(request_id, field=b"Connection: close"):
    """Return the head of an answer."""
    return b"HTTP/1.1 200 OK\r\nRequest-Id: %b\r\n%b\r\n\r\n" % (request_id, field)


def answer(body, end, field=b"Connection: close"):
    """Return an endpoint's script: an answer, and its end after a while."""

    async def script(request_id, reader, writer):
        writer.write(head_of(request_id, field) + body)
        await writer.drain()
        await asyncio.sleep(SETTLE_TIME)
        end(writer)

    return script


def received(path, script, method="POST"):
    """Return the bytes that one caller receives."""
    return run_on_wire(script, lambda wire: wire.call(path, method))


class UnframedAnswerTests(unittest.TestCase):
    """Guard against answers cut by a reset that look whole to callers."""

    def test_stream_that_is_closed_in_order_is_whole(self):
        found = received("/once/1", answer(EVENTS, close_in_order))
        self.assertIn(b"id: 2\ndata: b", found)
        self.assertTrue(found.endswith(LAST_CHUNK))

    def test_stream_that_is_reset_between_events_is_broken_off(self):
        found = received("/once/1", answer(EVENTS, reset))
        self.assertIn(b"id: 2\ndata: b", found)
        self.assertFalse(found.endswith(LAST_CHUNK))

    def test_stream_that_ends_within_an_event_is_broken_off(self):
        for end in (close_in_order, reset):
            found = received("/once/1", answer(EVENTS[:-3], end))
            self.assertIn(b"id: 1\ndata: a", found)
            self.assertFalse(found.endswith(LAST_CHUNK))

    def test_plain_answer(self):
        found = received("/post/1", answer(b"hello", close_in_order))
        self.assertTrue(found.startswith(b"HTTP/1.1 200"))
        self.assertTrue(found.endswith(b"\r\n\r\nhello"))
        found = received("/post/1", answer(b"hello", reset))
        self.assertTrue(found.startswith(b"HTTP/1.1 502"))


class HeadRequestTests(unittest.TestCase):
    """Guard against a timeout of requests whose answers have no body."""

    def test_head_is_answered(self):
        for field in (b"Content-Length: 5", b"Connection: close"):
            script = answer(b"", close_in_order, field)
            found = received("/look/1", script, "HEAD")
            self.assertTrue(found.startswith(b"HTTP/1.1 200"))
            self.assertTrue(found.endswith(b"\r\n\r\n"))


class EndlessAnswerTests(unittest.TestCase):
    """Guard against answers without end that are held until the deadline."""

    def statuses(self, path, start, rest):
        """Return the status codes that many callers get, and the memory's peak."""

        async def script(request_id, reader, writer):
            writer.write(start(request_id))
            while not writer.is_closing():
                writer.write(rest)
                await writer.drain()

        async def use(wire):
            answers = await asyncio.gather(*(wire.call(path) for _ in range(CALLERS)))
            return {it.split()[1] for it in answers}, wire.gateway.pool.memory

        return run_on_wire(script, use)

    def test_callers_get_an_answer_at_once(self):
        chunked = b"Transfer-Encoding: chunked"
        chunk = b"1000\r\n%b\r\n" % (b"x" * 4096)
        cases = (
            ("/post/1", lambda name: b"HTTP/1.1 200 OK\r\n", b"A: b\r\n" * 1000),
            ("/post/1", head_of, b"x" * 65_536),
            ("/once/1", lambda name: b"HTTP/1.1 200 OK\r\nA: ", b"x" * 65_536),
            ("/once/1", lambda name: head_of(name, chunked), chunk),
        )
        for number, (path, start, rest) in enumerate(cases):
            with self.subTest(number=number):
                found, memory = self.statuses(path, start, rest)
                # A timeout would be a 504.  The only engine gets no new streams for a
                # moment after a failure; these are refused without a run.
                refused = {b"503"} if path == "/once/1" else set()
                self.assertEqual(found - refused, {b"502"})
                self.assertLessEqual(memory.peak, memory.limit)
                self.assertEqual(memory.held, 0)
