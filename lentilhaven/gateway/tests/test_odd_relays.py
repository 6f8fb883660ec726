"""Answers of other gateways that hold no state that can be read, over loopback."""

import asyncio
import unittest

import aiohttp

from lentilhaven.core.tests.test_answer_body import serve_body
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.peer_relay import fetch_newer
from lentilhaven.gateway.tests.platform_testbed import sample_settings
from lentilhaven.peering.messages import PeerMessage
from lentilhaven.platform.settings import decode_settings

#: Answers of another gateway that hold no endpoints.
ODD_ANSWERS = (
    b"[]",
    b'"x"',
    b"[" * 20_000,
    b'{"endpoints": [{"id": 1}], "endpoints_revision": 9}',
    b'{"endpoints": [], "endpoints_revision": 1e400}',
    b'{"endpoints": [], "endpoints_revision": null}',
    b'{"endpoints": 7, "endpoints_revision": 9}',
    b'{"manifest": {"version": 1}, "manifest_revision": 1e400}',
)


class OddAnswerTests(unittest.TestCase):
    def test_odd_answer_is_logged_and_changes_nothing(self):
        """Guard against a task that ends at each answer of such a gateway."""

        async def main(body):
            server = await asyncio.start_server(serve_body(body), "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            gateway = Gateway(decode_settings(sample_settings(0)))
            address = f"{host}:{port}"
            message = PeerMessage("vm-x", "r", address, 1, relay=address)
            async with aiohttp.ClientSession() as session:
                await fetch_newer(gateway, session, message)
            server.close()
            return gateway.view.is_complete

        for body in ODD_ANSWERS:
            with self.subTest(body=body[:50]):
                self.assertFalse(asyncio.run(main(body)))
