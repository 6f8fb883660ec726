import os
import socket
import unittest

from lentilhaven.upstream.tests.test_late_responses import ask, encode
from lentilhaven.upstream.tests.wire import run_at_the_wire


class ReuseTests(unittest.TestCase):
    """Guard against requests on a connection whose end or next bytes are unread."""

    def check_second_request(self, act):
        """Check a request after an endpoint's act that was not read."""
        used = []

        async def script(reader, writer):
            used.append(writer.get_extra_info("socket"))
            while head := await reader.readuntil(b"\r\n\r\n"):
                name = head.partition(b"Request-Id: ")[2].split(b"\r\n")[0].decode()
                writer.write(encode(200, name))

        async def use(pool, endpoint):
            await ask(pool, endpoint, "r0")
            act(used[0])
            # The event loop reads nothing before the connection is chosen.
            return await ask(pool, endpoint, "r1", "POST")

        found = run_at_the_wire(script, use)
        self.assertIsNotNone(found, "no answer")
        self.assertEqual((found[0].status, len(used)), (200, 2))

    # Guards against a request that is lost, and may have run, on a closed connection.
    def test_connection_that_the_endpoint_has_closed(self):
        self.check_second_request(lambda sock: sock.shutdown(socket.SHUT_WR))

    # Guards against a copy of a refusal in the place of the next answer.
    def test_connection_with_an_unread_copy(self):
        copy = encode(503, "", "Not-Executed: 1")
        self.check_second_request(lambda sock: os.write(sock.fileno(), copy))
