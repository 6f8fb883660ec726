"""Testbed: one gateway whose callers and endpoints use the loopback interface."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import Any

import attrs

from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.listeners import CallerListener, open_caller_listener
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
        return (await self.call_named(path, method))[1]

    async def call_named(self, path: str, method: str = "POST") -> tuple[str, bytes]:
        """Return the id of a request, and all bytes of its answer."""
        self.requests += 1
        name = f"r{self.requests}"
        fields = request_headers(name, KEY, PATIENCE, 40)
        fields["Content-Length"] = "0"
        fields["Connection"] = "close"
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join(lines) + "\r\n\r\n"
        return name, await receive_bytes(self.port, head.encode())


async def receive_bytes(port: int, request: bytes) -> bytes:
    """Return all bytes that a caller gets until its connection ends."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(request)
    received = b""
    try:
        while data := await reader.read(65_536):
            received += data
    except OSError:
        pass
    finally:
        writer.close()
    return received


def wire_engine(name: str, address: str) -> Endpoint:
    """Return an engine that holds all layers."""
    return Endpoint(
        name,
        "gen",
        address,
        "dc-a",
        SLOTS,
        card="large",
        layers=LayerSpan(0, LAYERS),
        model="lentil-70",
    )


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
        address = address_of(server)
        plain = Endpoint("p", "stock", address, "dc-a", SLOTS)
        found = await use_gateway([wire_engine("e", address), plain], use)
        server.close()
        return found

    return asyncio.run(main())


def run_on_wire_with(replicas: Sequence[Any], use: Any) -> Any:
    """
    Return the result of `use(wire)` with several replicas of the plain service.

    Each replica serves a connection by its method ``serve(reader, writer)``.
    """

    async def main() -> Any:
        servers = [
            await asyncio.start_server(it.serve, "127.0.0.1", 0) for it in replicas
        ]
        endpoints = [
            Endpoint(f"p{number}", "stock", address_of(server), "dc-a", SLOTS)
            for number, server in enumerate(servers)
        ]
        found = await use_gateway(endpoints, use)
        for server in servers:
            server.close()
        return found

    return asyncio.run(main())


def address_of(server: asyncio.Server) -> str:
    """Return the address of a server on the loopback interface."""
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


async def use_gateway(endpoints: Sequence[Endpoint], use: Any) -> Any:
    """Return the result of `use(wire)` with a gateway that knows the endpoints."""
    async with open_wire_gateway(endpoints) as (gateway, listener):
        return await use(WireGateway(gateway, listening_port(listener)))


def listening_port(listener: CallerListener) -> int:
    """Return the port on which a gateway listens for callers."""
    return listener.tcp_server.sockets[0].getsockname()[1]


@asynccontextmanager
async def open_wire_gateway(
    endpoints: Sequence[Endpoint], **bounds: Any
) -> AsyncIterator[tuple[Gateway, CallerListener]]:
    """Open a gateway that knows some endpoints, with other bounds in its settings."""
    settings = sample_settings(0)
    settings["listen_addrs"]["front"] = "127.0.0.1:0"
    settings["bounds"] |= bounds
    gateway = Gateway(decode_settings(settings))
    position = StorePosition(0, 1)
    adopt_manifest(gateway, sample_manifest(), position, "test")
    gateway.view.replace_endpoints(endpoints, position, "test")
    async with open_caller_listener(gateway) as listener:
        yield gateway, listener
