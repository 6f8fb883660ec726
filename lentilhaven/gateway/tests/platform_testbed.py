"""Testbed: complete gateways on a simulated platform, in virtual time."""

import asyncio
from contextlib import AsyncExitStack, asynccontextmanager
from random import Random
from typing import Any

import aiohttp
import attrs
from yarl import URL

from lentilhaven.core.clock import loop_clock
from lentilhaven.core.serving import serve_app
from lentilhaven.gateway.connection_factories import ConnectionFactories
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.listeners import open_caller_listener, open_ready_listener
from lentilhaven.gateway.program import running_background_tasks
from lentilhaven.peering.directory import FULL_MESH_LIMIT
from lentilhaven.platform.settings import PlatformSettings, decode_settings
from lentilhaven.standins.platform import FakeFleet, FakeReplica, FakeStore, store_app
from lentilhaven.standins.platform.cut_links import GatewayLinks, LinkedConnector
from lentilhaven.standins.platform.sample_files import (
    engine_entry,
    request_headers,
    routes_of_each_kind,
    settings_file,
)
from lentilhaven.standins.virtual import VirtualConnector, run_virtual

LAYERS = 8
KEY = "key-of-depot"

#: Seconds for which callers wait for a response.
CALLER_TIMEOUT = 20.0

#: Seconds within which the gateways discover each other.
DISCOVERY_TIME = 0.5

#: Delivery time of a datagram, in seconds.
DATAGRAM_LATENCY = 0.001


def sample_settings(
    number: int, seeds: int = 2, data_centres: int = 1
) -> dict[str, Any]:
    """Return a gateway's settings file; gateways cycle through the data centres."""
    return settings_file(
        number,
        f"10.0.0.{number + 1}",
        f"dc-{'abc'[number % data_centres]}",
        [f"10.0.0.{it + 1}" for it in range(seeds)],
        f"10.9.0.1:{9000 + number}",
    )


def sample_manifest(version: int = 1, **other: Any) -> dict[str, Any]:
    """Return a manifest with one route of each kind."""
    return {
        "version": version,
        "routes": routes_of_each_kind(),
        "services": [
            {"name": "gen", "engine": engine_entry(), "max_connections": 100},
            {"name": "stock", "health_path": "/healthz", "max_connections": 50},
        ],
        "limits": {"max_body_bytes": 1_000_000, "idle_timeout_ms": 30_000},
        "tenants": [{"name": "depot", "api_keys": [KEY]}],
        **other,
    }


def plain_replicas(count: int = 2) -> list[FakeReplica]:
    """Return replicas of the plain service."""
    return [
        FakeReplica(f"i-stock-{it}", "stock", f"10.3.0.{it + 1}") for it in range(count)
    ]


def engine(
    name: str,
    start: int,
    end: int,
    card: str = "small",
    data_centre: str = "dc-a",
    **other: Any,
) -> FakeReplica:
    """Return an engine, which holds no layers if `start` equals `end`."""
    number = sum(name.encode()) % 200 + 1
    return FakeReplica(
        f"i-{name}",
        "gen",
        f"10.2.{len(name)}.{number}",
        data_centre=data_centre,
        card=card,
        span=(start, end) if end > start else None,
        **other,
    )


def two_chains() -> list[FakeReplica]:
    """Return two disjoint chains of two engines each."""
    return [
        engine("a0", 0, 4),
        engine("a4", 4, 8),
        engine("b0", 0, 4),
        engine("b4", 4, 8),
    ]


def make_connector() -> VirtualConnector:
    """
    Return an in-memory connector without a limit of connections.

    The long keep-alive timeout prevents aiohttp's clean-up of idle connections,
    which becomes a busy loop on a clock without rounding errors.
    """
    return VirtualConnector(keepalive_timeout=86_400.0, limit=0)


@attrs.define
class Reply:
    """The response that a caller received."""

    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    seconds: float

    @property
    def event_ids(self) -> list[int]:
        """Return the ids of the events in the body."""
        lines = self.body.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


@attrs.define
class DatagramNetwork:
    """
    An in-memory network for datagrams.

    Attributes
    ----------
    protocols : dict
        Receiver of each address.
    cut : set of str
        Hosts that are disconnected.
    cut_links : set of frozenset of str
        Pairs of hosts between which all datagrams are lost.
    lost_share : float
        Share of all datagrams that are lost.
    random : Random
        Chooses them.
    """

    protocols: dict[tuple[str, int], Any] = attrs.field(factory=dict)
    cut: set[str] = attrs.field(factory=set)
    cut_links: set[frozenset[str]] = attrs.field(factory=set)
    lost_share: float = 0.0
    random: Random = attrs.field(factory=lambda: Random(1))

    async def open(self, make_protocol: Any, host: str, port: int) -> tuple[Any, Any]:
        """Open a socket."""
        protocol = make_protocol()
        self.protocols[(host, port)] = protocol
        transport = MemoryTransport(self, (host, port))
        protocol.connection_made(transport)
        return transport, protocol

    def loses(self, sender: str, receiver: str) -> bool:
        """Return whether a datagram from one host to another is lost."""
        hosts = frozenset((sender, receiver))
        if hosts & self.cut or hosts in self.cut_links:
            return True
        return self.random.random() < self.lost_share


@attrs.define
class MemoryTransport:
    """A socket of a `DatagramNetwork`."""

    network: DatagramNetwork
    own: tuple[str, int]

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Deliver a datagram unless the network loses it."""
        protocol = self.network.protocols.get(address)
        if protocol is None or self.network.loses(self.own[0], address[0]):
            return
        loop = asyncio.get_running_loop()
        loop.call_later(DATAGRAM_LATENCY, protocol.datagram_received, data, self.own)

    def close(self) -> None:
        """Close the socket."""
        self.network.protocols.pop(self.own, None)


@attrs.define
class PlatformTestbed:
    """The store, replicas and gateways of a test, and a client session."""

    store: FakeStore
    fleet: FakeFleet
    gateways: list[Gateway]
    datagram_network: DatagramNetwork
    session: aiohttp.ClientSession
    requests: int = 0
    links: list[GatewayLinks] = attrs.field(factory=list)

    async def call(
        self,
        path: str,
        method: str = "POST",
        gateway: int = 0,
        body: bytes = b"count 7",
        output: int = 40,
        port: int = 7000,
        **headers: str,
    ) -> Reply:
        """Send a request and read the response, even if it is incomplete."""
        self.requests += 1
        loop = asyncio.get_running_loop()
        began = loop.time()
        fields = request_headers(f"r{self.requests}", KEY, CALLER_TIMEOUT, output)
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        url = URL(f"http://10.0.0.{gateway + 1}:{port}{path}", encoded=True)
        data = body if method == "POST" else None
        received = b""
        async with self.session.request(
            method, url, data=data, headers=fields, allow_redirects=False
        ) as response:
            try:
                async for part in response.content.iter_any():
                    received += part
                complete = True
            except aiohttp.ClientError:
                complete = False
        return Reply(
            response.status,
            dict(response.headers),
            received,
            complete,
            loop.time() - began,
        )


@asynccontextmanager
async def open_testbed(
    replicas: list[FakeReplica],
    gateways: int = 2,
    manifest: dict[str, Any] | None = None,
    seed: int = 1,
    data_centres: int = 1,
    small_fleet: int = FULL_MESH_LIMIT,
):
    """Start a store, replicas and gateways, and wait until the gateways are ready."""
    store = FakeStore()
    fleet = FakeFleet(store, layers=LAYERS)
    datagrams = DatagramNetwork()
    store.put("config", "main", manifest or sample_manifest())
    async with AsyncExitStack() as stack:
        await stack.enter_async_context(fleet.open(*replicas))
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=make_connector())
        )
        bed = PlatformTestbed(store, fleet, [], datagrams, session)
        for number in range(gateways):
            settings = decode_settings(sample_settings(number, 2, data_centres))
            gateway = await start_gateway(stack, bed, settings, seed)
            gateway.peers.directory.full_mesh_limit = small_fleet
        for gateway in bed.gateways:
            await gateway.view.changed.wait_until(lambda it=gateway: it.ready, 5.0)
        await asyncio.sleep(DISCOVERY_TIME)
        yield bed


async def start_gateway(
    stack: AsyncExitStack, bed: PlatformTestbed, settings: PlatformSettings, seed: int
) -> Gateway:
    """Start one gateway with its own server of the store's API."""
    number = len(bed.gateways)
    gateway = Gateway(settings, loop_clock(), random=Random(seed * 100 + number))
    bed.gateways.append(gateway)
    app = store_app(bed.store, settings.vm)
    await stack.enter_async_context(serve_app(app, host="10.9.0.1", port=9000 + number))
    links = GatewayLinks()
    bed.links.append(links)
    factories = ConnectionFactories(
        make_connector,
        lambda: LinkedConnector(links, force_close=True, limit=0),
        bed.datagram_network.open,
        links.connect,
    )
    await stack.enter_async_context(open_ready_listener(gateway))
    await stack.enter_async_context(open_caller_listener(gateway))
    await stack.enter_async_context(running_background_tasks(gateway, factories))
    return gateway


def run_on_testbed(scenario: Any, replicas: list[FakeReplica], **options: Any) -> Any:
    """Run ``scenario(bed)`` in virtual time and return its result."""

    async def main() -> Any:
        async with open_testbed(replicas, **options) as bed:
            return await scenario(bed)

    return run_virtual(main())
