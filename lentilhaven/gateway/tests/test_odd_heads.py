import unittest

from lentilhaven.gateway.tests.wire_testbed import run_on_wire

#: Headers whose values are no numbers that can be used.
ODD_HEADERS = (
    ("Keep-Alive", "timeout=\N{SUPERSCRIPT TWO}"),
    ("Keep-Alive", "timeout=" + "9" * 5_000),
    ("Replica-Load", "1,1," + "9" * 400),
    ("Replica-Load", "-1,\N{SUPERSCRIPT TWO},8"),
    ("Retry-After", "1e999"),
    ("Retry-After", "Thu, 01 Jan 99999999999999999999 00:00:00 GMT"),
    ("Retry-After", "Thu, 01 Jan 1970 00:01:40 +99999999999999999999"),
    ("Server-Limit", "nan, 1e999, " + "9" * 5_000),
)


class OddHeadTests(unittest.TestCase):
    """Answers of replicas were lost for a number that can't be read (issue 37)."""

    def answer(self, status, header):
        """Return what a caller gets if a replica answers with a header."""

        async def script(request_id, reader, writer):
            head = (
                f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id.decode()}\r\n"
                f"{header[0]}: {header[1]}\r\nContent-Length: 4\r\n\r\n"
            )
            writer.write(head.encode("latin-1") + b"body")
            await writer.drain()

        return run_on_wire(script, lambda wire: wire.call("/post/1"))

    # Guards against 502 in place of an answer that the replica has given.
    def test_answers_with_odd_numbers_are_returned(self):
        for status in (200, 503):
            for header in ODD_HEADERS:
                with self.subTest(status=status, name=header[0], value=header[1][:40]):
                    answer = self.answer(status, header)
                    self.assertTrue(answer.startswith(b"HTTP/1.1 %d " % status), answer)
                    self.assertTrue(answer.endswith(b"\r\n\r\nbody"))
