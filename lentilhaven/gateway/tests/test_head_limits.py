import asyncio
import unittest

from lentilhaven.gateway.tests.raw_caller import RawCaller, raw_request
from lentilhaven.gateway.tests.wire_testbed import listening_port, open_wire_gateway

#: The manifest's default limit on a head, in bytes.
LIMIT = 16_384

#: Bytes of the request line and fields of a test's request, at most.
USUAL_BYTES = 300


def request_with(fields, body=None):
    """Return a request with further fields."""
    head, end, rest = raw_request(body=body).partition(b"\r\n\r\n")
    return head + b"\r\n" + fields.rstrip(b"\r\n") + end + rest


class HeadLimitTests(unittest.TestCase):
    """Heads inside the manifest's limit got 400, and those over it no fixed answer."""

    def ask(self, *pieces, answers=1):
        """Return the status codes of answers, and whether the connection closes."""

        async def scenario():
            async with open_wire_gateway([]) as (_, listener):
                caller = await RawCaller.connect(listening_port(listener), "127.0.0.1")
                for piece in pieces:
                    caller.writer.write(piece)
                    await asyncio.sleep(0.02)
                found = [await caller.read_answer() for _ in range(answers)]
                closes = await caller.wait_for_close(0.5)
                caller.writer.close()
                return [it and it.status for it in found], closes

        return asyncio.run(scenario())

    # Guards against 400 for a field that the library finds too long.
    def test_one_long_field_within_the_limit_is_served(self):
        fields = b"X-Long: " + b"a" * (LIMIT - USUAL_BYTES) + b"\r\n"
        self.assertEqual(self.ask(request_with(fields)), ([503], False))

    # Guards against 400 for more fields than the library takes.
    def test_many_fields_within_the_limit_are_served(self):
        fields = b"".join(b"F%d: v\r\n" % number for number in range(1500))
        self.assertLess(len(fields), LIMIT - USUAL_BYTES)
        self.assertEqual(self.ask(request_with(fields)), ([503], False))

    # Guards against a refusal that a reset destroys, or that does not close.
    def test_heads_over_the_limit_get_431_and_a_close(self):
        one = b"X-Long: " + b"a" * (LIMIT + 100) + b"\r\n"
        several = b"".join(b"X-%d: %s\r\n" % (it, b"a" * 3000) for it in range(7))
        for fields in (one, several, several * 10):
            for cut in (10, 10_000):
                request = request_with(fields)
                with self.subTest(length=len(request), cut=cut):
                    answer = self.ask(request[:cut], request[cut:])
                    self.assertEqual(answer, ([431], True))

    # Guards against a head that is cut off before the requests in front are answered.
    def test_requests_before_such_a_head_are_answered(self):
        long = request_with(b"X-Long: " + b"a" * 2 * LIMIT)
        found = self.ask(raw_request() + raw_request() + long, answers=3)
        self.assertEqual(found, ([503, 503, 431], True))

    # Guards against trailers that are held without a bound, and a hung request.
    def test_trailers_without_end_are_refused(self):
        head = request_with(b"Transfer-Encoding: chunked")
        trailers = b"".join(b"T%d: v\r\n" % number for number in range(3000))
        status, closes = self.ask(head + b"0\r\n", trailers)
        self.assertTrue(closes)
        self.assertIn(status[0], (400, 503))

    # Guards against a request that waits for ever for a body that can't be parsed.
    def test_a_malformed_chunk_is_refused_once(self):
        head = request_with(b"Transfer-Encoding: chunked")
        found = self.ask(head, b"zz\r\n", answers=2)
        self.assertEqual(found, ([400, None], True))

    # Guards against requests that are lost behind one that asks for an upgrade.
    def test_requests_behind_one_for_an_upgrade_are_answered(self):
        upgrade = request_with(b"Connection: upgrade\r\nUpgrade: websocket")
        found = self.ask(upgrade + raw_request() + raw_request(), answers=3)
        self.assertEqual(found, ([503, 503, 503], False))
