import asyncio
import unittest

import aiohttp

from lentilhaven.core.tests.test_answer_body import serve_body
from lentilhaven.endpoints.service_client import read_key_status
from lentilhaven.tables.endpoint_spec import EndpointSpec

#: Bodies that state no outcome of a call.
ODD_BODIES = (
    b'{"state": "done", "content_type": "a", "body": "", "status": 1e400}',
    b'{"state": "done", "content_type": "a", "body": "", "status": null}',
    b"[]",
    b"[" * 20_000,
    b"\xe9",
    b"1" * 6_000,
)


def read_at_the_wire(body):
    """Return the outcome of a call according to an endpoint that sends a body."""

    async def main():
        server = await asyncio.start_server(serve_body(body), "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        endpoint = EndpointSpec("e", f"http://127.0.0.1:{port}", "a")
        async with aiohttp.ClientSession() as session:
            found = await read_key_status(session, endpoint, "key")
        server.close()
        return found

    return asyncio.run(main())


class OddKeyStatusTests(unittest.TestCase):
    def test_odd_status_states_no_outcome(self):
        """Guard against an error that ends the call instead of its status."""
        for body in ODD_BODIES:
            with self.subTest(body=body[:70]):
                self.assertIsNone(read_at_the_wire(body))
