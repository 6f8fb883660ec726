"""Testbed: one gateway whose callers and endpoints use the loopback interface."""

import asyncio
from contextlib import AsyncExitStack
from typing import Any

import attrs

from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.listeners import open_caller_listener
from lentilhaven.gateway.store_watch import adopt_manifest
from lentilhaven.gateway.tests.platform_testbed import (
    KEY,
    LAYERS,
    sample_manifest,
    sample_settings,
)
from lentilhaven.platform.settings import decode_settings
from lentilhaven.standins.platform.sample_files import request_headers

#: Seconds for which callers wait.
PATIENCE = 10.0

#: Requests that an endpoint has room for.
SLOTS = 200


@attrs.define
class WireGateway:
    """A gateway, the port for its callers, and the number of its requests."""

    gateway: Gateway
    port: int
    requests: int = 0

    async def call(self, path: str, method: str = "POST") -> bytes:
        """Return all bytes of an answer, also if it is broken off."""
        self.requests += 1
        fields = request_headers(f"r{self.requests}", KEY, PATIENCE, 40)
        fields["Content-Length"] = "0"
        fields["Connection"] = "close"
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        received = b""
        try:
            while data := await reader.read(65_536):
                received += data
        except OSError:
            pass
        finally:
            writer.close()
        return received


def run_on_wire(script: Any, use: Any) -> Any:
    """
    Return the result of `use(wire)` with one endpoint of each service.

    Both answer as ``script(request_id, reader, writer)`` does after it has got the head
    of a request; then their connection is closed.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            request_id = head.lower().split("request-id: ")[1].split("\r\n")[0]
            await script(request_id.encode(), reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def main() -> Any:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        settings = sample_settings(0)
        settings["listen_addrs"]["front"] = "127.0.0.1:0"
        gateway = Gateway(decode_settings(settings))
        position = StorePosition(0, 1)
        adopt_manifest(gateway, sample_manifest(), position, "test")
        engine = Endpoint(
            "e",
            "gen",
            address,
            "dc-a",
            SLOTS,
            card="large",
            layers=LayerSpan(0, LAYERS),
            model="lentil-70",
        )
        plain = Endpoint("p", "stock", address, "dc-a", SLOTS)
        gateway.view.replace_endpoints([engine, plain], position, "test")
        async with AsyncExitStack() as stack:
            listener = await stack.enter_async_context(open_caller_listener(gateway))
            port = listener.tcp_server.sockets[0].getsockname()[1]
            found = await use(WireGateway(gateway, port))
        server.close()
        return found

    return asyncio.run(main())
