import asyncio
import socket
import unittest

from aiohttp import web

from lentilhaven.serving import serve_with_limits

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


async def answer(request):
    """Answer any request."""
    return web.Response(text="served")


class CloseTests(unittest.TestCase):
    """Connections were reset when a listener closed (issue 37)."""

    # Guards against the reset of connections that wait when the listener is closed.
    def test_connections_that_wait_to_be_accepted_are_served(self):
        async def scenario():
            app = web.Application()
            app.router.add_get("/", answer)
            async with serve_with_limits(app, "127.0.0.1", 0) as url:
                address = ("127.0.0.1", int(url.rpartition(":")[2]))
                callers = [socket.create_connection(address) for _ in range(3)]
                for caller in callers:
                    caller.sendall(REQUEST)
            received = []
            for caller in callers:
                caller.setblocking(False)
                reader, writer = await asyncio.open_connection(sock=caller)
                try:
                    received.append(await reader.read())
                except ConnectionResetError:
                    received.append(b"reset")
                writer.close()
            return received

        for text in asyncio.run(scenario()):
            self.assertTrue(text.startswith(b"HTTP/1.1 200 "), text)
