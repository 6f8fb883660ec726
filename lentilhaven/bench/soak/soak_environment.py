"""Environment of a soak: store, replicas, proxies and gateways."""

import asyncio
import os
from collections.abc import AsyncIterator, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import aiohttp
import attrs

from lentilhaven.bench.soak.gateway_process import GatewayProcess, running_gateway
from lentilhaven.bench.soak.gateway_program import LINKED_GATEWAY, GatewayProgram
from lentilhaven.bench.soak.loopback_proxy import LoopbackProxy, open_proxy
from lentilhaven.bench.soak.soak_callers import SoakCallers
from lentilhaven.bench.soak.soak_soundness import Soundness
from lentilhaven.bench.soak.soak_tables import (
    soak_manifest,
    soak_replicas,
)
from lentilhaven.core.serving import serve_app
from lentilhaven.platform.settings import decode_settings
from lentilhaven.standins.platform import FakeFleet, FakeReplica, FakeStore, store_app
from lentilhaven.standins.platform.sample_files import settings_file

#: Ports of the store and of its proxies, on loopback addresses that only this process
#: uses.
STORE_PORT, PROXY_PORT = 9000, 9001

#: Seconds from the end of a gateway, asked for by SIGTERM, to the end of its start.
RESTART_TIME = 10.0

#: Number of layers of the model.
LAYER_COUNT = 8


@attrs.define(eq=False)
class SoakEnvironment:
    """
    Processes and stand-ins of a soak.

    Attributes
    ----------
    random : random.Random
        Source of all randomness.
    store : FakeStore
        Stand-in for the platform's store.
    fleet : FakeFleet
        Stand-ins for the replicas.
    gateways : list of GatewayProcess
        Gateways under test.
    store_proxies : list of LoopbackProxy
        Proxy from each gateway to the store.
    replica_proxies : dict
        Proxy to each replica, by id of the replica.
    session : aiohttp.ClientSession
        HTTP client for readiness checks.
    version : int
        Version of the newest manifest.
    last_fault_end : float
        Time of the event loop at which the last fault ended, in seconds.
    soundness : Soundness
        Times at which replicas were harmed.
    callers : SoakCallers
        Callers of the gateways.
    limit_spans : list of LimitSpan
        Times during which replicas have named limits.
    disturbances : list of (float, float)
        Times of the event loop at which a gateway was suspended, in seconds.
    peak_memory : dict
        Largest resident memory of each gateway, in bytes, by name of its VM.
    """

    random: Random
    store: FakeStore
    fleet: FakeFleet
    session: aiohttp.ClientSession
    gateways: list[GatewayProcess] = attrs.field(factory=list)
    store_proxies: list[LoopbackProxy] = attrs.field(factory=list)
    replica_proxies: dict[str, LoopbackProxy] = attrs.field(factory=dict)
    version: int = 1
    last_fault_end: float = 0.0
    soundness: Soundness = attrs.field(factory=Soundness)
    callers: SoakCallers = attrs.field(factory=lambda: SoakCallers(Random(0), []))
    limit_spans: list[Any] = attrs.field(factory=list)
    disturbances: list[tuple[float, float]] = attrs.field(factory=list)
    peak_memory: dict[str, int] = attrs.field(factory=dict)

    def is_disturbed(self, begin: float, end: float) -> bool:
        """Return whether a gateway was harmed, stopped or cut off between two times."""
        spans = list(self.disturbances)
        for gateway in self.gateways:
            spans += [*gateway.kill_spans, *gateway.cut_spans]
            spans += [(at, at + RESTART_TIME) for at in gateway.stop_times]
        return any(since <= end and until >= begin for since, until in spans)

    def edit_manifest(self) -> None:
        """Write the next manifest, which adds a route for its version."""
        self.version += 1
        self.rewrite_manifest()

    def rewrite_manifest(self) -> None:
        """Write the newest manifest again."""
        self.store.put("config", "main", soak_manifest(self.version))


def loopback_address(block: int, group: int, number: int) -> str:
    """
    Return a loopback address.

    Parameters
    ----------
    block : int
        Number that differs between concurrent soaks, such as a process id.
    group, number : int
        Group of listeners, and number of the listener in that group.
    """
    return f"127.{64 + block % 128}.{(block // 128) % 60 * 4 + group}.{number + 1}"


def replica_address(number: int) -> str:
    """Return the address of a replica of this process, by its number from 0."""
    return loopback_address(os.getpid(), 1, number)


@asynccontextmanager
async def open_environment(
    seed: int,
    gateways: int,
    folder: Path,
    program: GatewayProgram = LINKED_GATEWAY,
    limits: Mapping[str, float] | None = None,
) -> AsyncIterator[SoakEnvironment]:
    """
    Start the whole environment and wait until the gateways are ready.

    Parameters
    ----------
    seed : int
        Seed of all randomness.
    gateways : int
        Number of gateways.
    folder : Path
        Folder for the settings files and logs.
    program : GatewayProgram
        Program that the gateways run at first.
    limits : mapping or None
        Limits of the machine in the gateways' settings that replace the usual ones.
    """
    store = FakeStore()
    fleet = FakeFleet(store, layers=LAYER_COUNT)
    store.put("config", "main", soak_manifest(1))
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(aiohttp.ClientSession())
        environment = SoakEnvironment(Random(seed), store, fleet, session)
        await open_replicas(stack, environment, soak_replicas(replica_address))
        for number in range(gateways):
            await open_gateway(
                stack, environment, number, folder, program, limits or {}
            )
        await asyncio.gather(*(it.wait_until_ready() for it in environment.gateways))
        addresses = [it.decoded_settings.callers for it in environment.gateways]
        environment.callers = SoakCallers(environment.random, addresses)
        yield environment


async def open_replicas(
    stack: AsyncExitStack, environment: SoakEnvironment, replicas: list[FakeReplica]
) -> None:
    """Start some replicas, each behind a proxy on the address in its store entry."""
    first = len(environment.replica_proxies)
    for number, replica in enumerate(replicas, first):
        listen_host = loopback_address(os.getpid(), 2, number)
        replica.listen_host = listen_host
        proxy = await stack.enter_async_context(
            open_proxy(replica.host, replica.port, listen_host, replica.port)
        )
        environment.replica_proxies[replica.id] = proxy
        environment.fleet.fronts[replica.id] = proxy
    await stack.enter_async_context(environment.fleet.open(*replicas))


async def open_gateway(
    stack: AsyncExitStack,
    environment: SoakEnvironment,
    number: int,
    folder: Path,
    program: GatewayProgram,
    limits: Mapping[str, float],
) -> None:
    """Start a gateway that has its own proxy to the store."""
    block = os.getpid()
    store_host = loopback_address(block, 3, number)
    host = loopback_address(block, 0, number)
    seeds = [loopback_address(block, 0, it) for it in range(2)]
    data_centre = f"dc-{'abc'[number % 3]}"
    settings = settings_file(
        number, host, data_centre, seeds, f"{store_host}:{PROXY_PORT}"
    )
    settings["limits"] |= limits
    app = store_app(environment.store, decode_settings(settings).vm)
    await stack.enter_async_context(serve_app(app, host=store_host, port=STORE_PORT))
    proxy = open_proxy(store_host, PROXY_PORT, store_host, STORE_PORT)
    environment.store_proxies.append(await stack.enter_async_context(proxy))
    gateway = running_gateway(settings, folder, environment.session, program)
    environment.gateways.append(await stack.enter_async_context(gateway))
