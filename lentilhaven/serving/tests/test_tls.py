"""TLS with a self-signed certificate that only these tests trust."""

import unittest
from pathlib import Path

import aiohttp
from aiohttp import web

from lentilhaven.core.randomness import derive_random
from lentilhaven.core.tls import TlsSettings, load_client_context, load_server_context
from lentilhaven.objects.object_client import open_object_client
from lentilhaven.serving.limited_server import serve_with_limits
from lentilhaven.standins.object_api import object_api_app
from lentilhaven.standins.object_store import ObjectStore

DATA = Path(__file__).parent / "data"
CERTIFICATE = str(DATA / "certificate.pem")
TLS = TlsSettings(CERTIFICATE, str(DATA / "key.pem"))


async def answer(request):
    return web.Response(text="secure")


class TlsTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_listener_serves_its_certificate(self):
        app = web.Application()
        app.router.add_get("/", answer)
        server = load_server_context(TLS, "$.tls").ok
        test_authority = load_client_context(CERTIFICATE, "$.ca").ok
        system_authorities = load_client_context("", "$.ca").ok
        async with (
            serve_with_limits(app, "127.0.0.1", 0, tls=server) as url,
            aiohttp.ClientSession() as session,
        ):
            self.assertTrue(url.startswith("https://"))
            async with session.get(url, ssl=test_authority) as response:
                self.assertEqual(await response.text(), "secure")
            with self.assertRaises(aiohttp.ClientSSLError):
                await session.get(url, ssl=system_authorities)

    async def test_the_platform_is_reached_over_tls(self):
        store = object_api_app(ObjectStore(derive_random(1, "store")))
        server = load_server_context(TLS, "$.tls").ok
        test_authority = load_client_context(CERTIFICATE, "$.store_ca_file").ok
        async with serve_with_limits(store, "127.0.0.1", 0, tls=server) as url:
            connector = aiohttp.TCPConnector(ssl=test_authority)
            async with open_object_client(url, connector) as client:
                self.assertTrue((await client.read("absent")).is_ok())
            async with open_object_client(url) as client:
                self.assertTrue((await client.read("absent")).is_error())

    def test_files_that_can_not_be_loaded_are_named(self):
        half = load_server_context(TlsSettings(CERTIFICATE, ""), "$.tls")
        self.assertIn("$.tls: certificate_file and key_file", half.error.detail)
        absent = load_server_context(TlsSettings(CERTIFICATE, "/absent/k"), "$.tls")
        self.assertIn("/absent/k", absent.error.detail)
        swapped = load_server_context(TlsSettings(CERTIFICATE, CERTIFICATE), "$.tls")
        self.assertIn("$.tls", swapped.error.detail)
        self.assertIn("$.ca", load_client_context(__file__, "$.ca").error.detail)
