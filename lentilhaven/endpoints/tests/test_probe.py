import asyncio
import socket
import unittest
from contextlib import contextmanager

import aiohttp

from lentilhaven.endpoints.engine_client import (
    CONNECT_TIMEOUT,
    SILENT_KIND,
    UNREACHED_KIND,
    EngineClient,
)
from lentilhaven.endpoints.stage import Stage
from lentilhaven.tables.layer_range import LayerRange

#: Timeout of a probe, in seconds.
TIMEOUT = 0.3


@contextmanager
def listening_socket(backlog=8):
    """Listen on the loopback interface, and accept nothing."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(backlog)
        yield listener


@contextmanager
def unreachable_port():
    """Yield a port that neither accepts nor refuses connections."""
    with listening_socket(backlog=0) as listener, socket.socket() as filler:
        filler.connect(listener.getsockname())
        yield listener.getsockname()[1]


def probe(port):
    """Return the result of a probe."""

    async def main():
        async with aiohttp.ClientSession() as session:
            stage = Stage("e", f"http://127.0.0.1:{port}", LayerRange(0, 4))
            return await EngineClient(session).probe(
                stage, "1", TIMEOUT, CONNECT_TIMEOUT
            )

    return asyncio.run(main())


class ProbeTests(unittest.TestCase):
    """Guard against taking an engine that is silent for one that is lost."""

    def test_engine_that_accepts_and_says_nothing_is_silent(self):
        with listening_socket() as listener:
            self.assertEqual(probe(listener.getsockname()[1]).error.kind, SILENT_KIND)

    def test_host_that_does_not_accept_is_not_reached(self):
        with unreachable_port() as port:
            self.assertEqual(probe(port).error.kind, UNREACHED_KIND)

    def test_engine_that_refuses_is_lost(self):
        with listening_socket() as listener:
            port = listener.getsockname()[1]
        self.assertEqual(probe(port).error.kind, "engine-lost")

    def test_engine_that_breaks_the_connection_is_lost(self):
        async def main():
            server = await asyncio.start_server(
                lambda _, writer: writer.transport.abort(), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            async with aiohttp.ClientSession() as session:
                stage = Stage("e", f"http://127.0.0.1:{port}", LayerRange(0, 4))
                found = await EngineClient(session).probe(stage, "1", TIMEOUT)
            server.close()
            return found

        self.assertEqual(asyncio.run(main()).error.kind, "engine-lost")
