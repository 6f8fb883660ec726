"""Startup of a testbed and of everything that its plan describes."""

import itertools
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp

from lentilhaven.core.clock import loop_clock
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.serving import serve_app
from lentilhaven.objects.object_client import open_object_client
from lentilhaven.standins.object_api import object_api_app
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.tables.layer_range import LayerRange
from lentilhaven.testbed.initial_tables import make_tables
from lentilhaven.testbed.network import OPERATOR, STORE, Network, PartitionConnector
from lentilhaven.testbed.testbed import Testbed
from lentilhaven.testbed.testbed_plan import TestbedPlan

#: First port that is allocated in virtual time.
FIRST_VIRTUAL_PORT = 10_000


@asynccontextmanager
async def open_testbed(plan: TestbedPlan) -> AsyncIterator[Testbed]:
    """
    Start a testbed, apply its initial tables, and stop it on exit.

    Parameters
    ----------
    plan : TestbedPlan
        Sizes and seed of the testbed.
    """
    async with AsyncExitStack() as stack:
        testbed = await start_platform(plan, stack)
        await start_endpoints(testbed)
        for index in range(plan.vm_count):
            data_centre = plan.data_centres[index % len(plan.data_centres)]
            await testbed.add_vm(f"vm-{index + 1}", data_centre)
        tables = make_tables(plan, testbed.engine_endpoints, testbed.service_endpoints)
        version = await testbed.apply(tables, "initial")
        await testbed.wait_until_adopted(version)
        yield testbed


async def start_platform(plan: TestbedPlan, stack: AsyncExitStack) -> Testbed:
    """Start the platform's stand-in and return a testbed without endpoints and VMs."""
    ports = itertools.count(FIRST_VIRTUAL_PORT)
    store = ObjectStore(derive_random(plan.seed, "store"))
    port = next(ports) if plan.virtual else 0
    url = await stack.enter_async_context(serve_app(object_api_app(store), port=port))

    network = Network()

    def make_connector() -> aiohttp.BaseConnector:
        if plan.virtual:
            return PartitionConnector(network, OPERATOR)
        return aiohttp.TCPConnector(limit=0)

    client = await stack.enter_async_context(open_object_client(url, make_connector()))
    session = await stack.enter_async_context(
        aiohttp.ClientSession(connector=make_connector())
    )
    clock = loop_clock()
    testbed = Testbed(plan, stack, clock, store, url, client, session, ports)
    testbed.network = network
    testbed.network.register_address(STORE, url)
    return testbed


async def start_endpoints(testbed: Testbed) -> None:
    """Start all engines and services of the testbed's plan."""
    plan = testbed.plan
    layers_per_range = plan.layer_count // plan.range_count
    for replica in range(plan.replica_count):
        for index in range(plan.range_count):
            layers = LayerRange(
                index * layers_per_range, (index + 1) * layers_per_range
            )
            data_centre = plan.data_centres[replica % len(plan.data_centres)]
            name = f"engine-{replica + 1}{chr(ord('a') + index)}"
            await testbed.add_engine(name, layers, data_centre)
    for index in range(plan.service_count):
        data_centre = plan.data_centres[index % len(plan.data_centres)]
        await testbed.add_service(f"stock-{index + 1}", data_centre)
