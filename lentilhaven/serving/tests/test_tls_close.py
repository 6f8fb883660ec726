import asyncio
import socket
import ssl
import threading
import unittest

from aiohttp import web

from lentilhaven.core.tls import load_server_context
from lentilhaven.serving import serve_with_limits
from lentilhaven.serving.tests.test_tls import CERTIFICATE, TLS

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"

#: Seconds for which callers wait.
PATIENCE = 2.0


async def answer(request):
    """Answer any request."""
    return web.Response(text="served")


def call_over_tls(address, connected):
    """Return the bytes that a caller gets over TLS; empty after an error."""
    context = ssl.create_default_context(cafile=CERTIFICATE)
    context.check_hostname = False
    try:
        with socket.create_connection(address, PATIENCE) as plain:
            connected.set()
            with context.wrap_socket(plain) as caller:
                caller.sendall(REQUEST)
                return caller.recv(65_536)
    except OSError:
        return b""


class TlsCloseTests(unittest.TestCase):
    """
    Guard against a shutdown that fails, or serves nobody, for one waiting connection.

    Connections that waited when a listener closed were set up one after another.
    """

    def close_beside(self, first):
        """Close a listener while an odd connection waits, and then a sound one."""

        async def scenario():
            app = web.Application()
            app.router.add_get("/", answer)
            server = load_server_context(TLS, "$.tls").ok
            async with serve_with_limits(app, "127.0.0.1", 0, tls=server) as url:
                address = ("127.0.0.1", int(url.rpartition(":")[2]))
                odd = socket.create_connection(address, PATIENCE)
                odd.sendall(first)
                connected = threading.Event()
                loop = asyncio.get_running_loop()
                sound = loop.run_in_executor(None, call_over_tls, address, connected)
                # The listener closes before the event loop accepts them.
                connected.wait(PATIENCE)
            with odd:
                return await sound

        return asyncio.run(scenario())

    # Guards against an error of the handshake that ends the shutdown.
    def test_caller_without_tls(self):
        self.assertIn(b"served", self.close_beside(REQUEST))

    # Guards against a silent connection behind which others are not served.
    def test_silent_caller(self):
        self.assertIn(b"served", self.close_beside(b""))
