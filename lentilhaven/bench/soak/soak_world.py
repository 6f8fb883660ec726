"""The parts of a soak: store, replicas, proxies and gateways."""

import asyncio
import os
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random

import aiohttp
import attrs

from lentilhaven.bench.soak.gateway_process import GatewayProcess, running_gateway
from lentilhaven.bench.soak.loopback_proxy import LoopbackProxy, open_proxy
from lentilhaven.bench.soak.soak_tables import (
    soak_manifest,
    soak_replicas,
)
from lentilhaven.core.serving import serve_app
from lentilhaven.platform.settings import decode_settings
from lentilhaven.standins.platform import FakeFleet, FakeReplica, FakeStore, store_app
from lentilhaven.standins.platform.sample_files import settings_file

#: Ports on loopback addresses that belong to this process alone.
STORE_PORT, PROXY_PORT = 9000, 9001

#: Layers of the model.
LAYERS = 8


@attrs.define(eq=False)
class SoakWorld:
    """
    What runs during a soak.

    Attributes
    ----------
    random : random.Random
        Decides everything.
    store : FakeStore
        The platform's store.
    fleet : FakeFleet
        The replicas.
    gateways : list of GatewayProcess
        The programs.
    store_links : list of LoopbackProxy
        From each gateway to the store.
    replica_links : dict
        To each replica, by its id.
    session : aiohttp.ClientSession
        For questions of the soak itself.
    version : int
        Version of the newest manifest.
    faulty_until : float
        Time of the event loop at which the last fault ended.
    """

    random: Random
    store: FakeStore
    fleet: FakeFleet
    session: aiohttp.ClientSession
    gateways: list[GatewayProcess] = attrs.field(factory=list)
    store_links: list[LoopbackProxy] = attrs.field(factory=list)
    replica_links: dict[str, LoopbackProxy] = attrs.field(factory=dict)
    version: int = 1
    faulty_until: float = 0.0

    def edit_manifest(self) -> None:
        """Write the next manifest, which has one route of its own."""
        self.version += 1
        self.store.put("config", "main", soak_manifest(self.version))


def address_of(block: int, group: int, number: int) -> str:
    """
    Return a loopback address.

    Parameters
    ----------
    block : int
        Tells soaks apart that run at the same time.
    group, number : int
        Kind of program, and which of them.
    """
    return f"127.{64 + block % 128}.{(block // 128) % 60 * 4 + group}.{number + 1}"


@asynccontextmanager
async def open_world(
    seed: int, gateways: int, folder: Path
) -> AsyncIterator[SoakWorld]:
    """
    Start everything and wait until all gateways are ready.

    Parameters
    ----------
    seed : int
        Of all that is drawn.
    gateways : int
        Number of gateways.
    folder : Path
        Where settings and logs go.
    """
    store = FakeStore()
    fleet = FakeFleet(store, layers=LAYERS)
    store.put("config", "main", soak_manifest(1))
    block = os.getpid()
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        world = SoakWorld(Random(seed), store, fleet, session)
        replicas = soak_replicas(lambda number: address_of(block, 1, number))
        await open_replicas(stack, world, replicas, block)
        for number in range(gateways):
            await open_gateway(stack, world, number, block, folder)
        await asyncio.gather(*(it.wait_until_ready() for it in world.gateways))
        yield world


async def open_replicas(
    stack: AsyncExitStack,
    world: SoakWorld,
    replicas: list[FakeReplica],
    block: int,
) -> None:
    """Listen for all replicas, each behind a proxy that its entry names."""
    for number, replica in enumerate(replicas):
        hidden = address_of(block, 2, number)
        replica.listen_host = hidden
        world.replica_links[replica.id] = await stack.enter_async_context(
            open_proxy(replica.host, replica.port, hidden, replica.port)
        )
    await stack.enter_async_context(world.fleet.open(*replicas))


async def open_gateway(
    stack: AsyncExitStack, world: SoakWorld, number: int, block: int, folder: Path
) -> None:
    """Start a gateway with a link of its own to the store."""
    hidden = address_of(block, 3, number)
    host = address_of(block, 0, number)
    seeds = [address_of(block, 0, it) for it in range(2)]
    data_centre = f"dc-{'abc'[number % 3]}"
    settings = settings_file(number, host, data_centre, seeds, f"{hidden}:{PROXY_PORT}")
    app = store_app(world.store, decode_settings(settings).vm)
    await stack.enter_async_context(serve_app(app, host=hidden, port=STORE_PORT))
    link = open_proxy(hidden, PROXY_PORT, hidden, STORE_PORT)
    world.store_links.append(await stack.enter_async_context(link))
    process = running_gateway(settings, folder, world.session)
    world.gateways.append(await stack.enter_async_context(process))
