"""Testbed: one gateway whose callers and endpoints use the loopback interface."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs

from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.gateway.budget import ASSUMED_GATEWAYS
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

    async def call(
        self,
        path: str,
        method: str = "POST",
        patience: float = PATIENCE,
        **headers: str,
    ) -> bytes:
        """Return all bytes of an answer, also if it is broken off."""
        self.requests += 1
        fields = request_headers(f"r{self.requests}", KEY, patience, 40)
        fields |= {"Content-Length": "0", "Connection": "close"}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
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


@attrs.frozen
class EngineRequest:
    """Id of a request that an endpoint has got, and the event after which it begins."""

    id: bytes
    last_event: int


async def read_request(reader: asyncio.StreamReader) -> EngineRequest:
    """Return a request whose head is read."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = (line.partition(": ") for line in head.split("\r\n"))
    fields = {name.lower(): value for name, _, value in lines}
    return EngineRequest(
        fields["request-id"].encode(), int(fields.get("last-event-id") or 0)
    )


@asynccontextmanager
async def serving(script: Any) -> AsyncIterator[str]:
    """
    Serve requests on a port, one a connection, and yield the address.

    ``script(request, reader, writer)`` answers; then the connection is closed.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await script(await read_request(reader), reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    try:
        yield f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    finally:
        server.close()


@asynccontextmanager
async def open_wire(
    engines: list[str], plain: list[str], retries: int = 0
) -> AsyncIterator[WireGateway]:
    """
    Open a gateway.

    Parameters
    ----------
    engines, plain : list of str
        Addresses of the engines, each of which holds all layers, and of the endpoints
        of the plain service.
    retries : int
        Number of retries that a gateway may send which knows no other one.
    """
    settings = sample_settings(0)
    if retries:
        settings["bounds"]["retry_budget_slack"] = retries * ASSUMED_GATEWAYS
    settings["listen_addrs"]["front"] = "127.0.0.1:0"
    gateway = Gateway(decode_settings(settings))
    position = StorePosition(0, 1)
    adopt_manifest(gateway, sample_manifest(), position, "test")
    endpoints = [
        Endpoint(
            f"e{number}",
            "gen",
            address,
            "dc-a",
            SLOTS,
            card="large",
            layers=LayerSpan(0, LAYERS),
            model="lentil-70",
        )
        for number, address in enumerate(engines)
    ]
    endpoints += [
        Endpoint(f"p{number}", "stock", address, "dc-a", SLOTS)
        for number, address in enumerate(plain)
    ]
    gateway.view.replace_endpoints(endpoints, position, "test")
    async with open_caller_listener(gateway) as listener:
        port = listener.tcp_server.sockets[0].getsockname()[1]
        yield WireGateway(gateway, port)


def run_on_wire(script: Any, use: Any) -> Any:
    """
    Return the result of `use(wire)` with one endpoint of each service.

    Both answer as ``script(request_id, reader, writer)`` does after it has got the head
    of a request; then their connection is closed.
    """

    async def answer(
        request: EngineRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        await script(request.id, reader, writer)

    async def main() -> Any:
        async with serving(answer) as address, open_wire([address], [address]) as wire:
            return await use(wire)

    return asyncio.run(main())
