"""A running testbed: the whole system in one process."""

import itertools
import random
from collections import Counter
from contextlib import AsyncExitStack

import aiohttp
import attrs
from yarl import URL

from lentilhaven.agent.agent import open_agent
from lentilhaven.agent.agent_api import agent_app
from lentilhaven.agent.agent_settings import AgentSettings
from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import (
    DataCentre,
    EndpointId,
    VmId,
)
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.serving import serve_app
from lentilhaven.distribution.commit import Committed, commit_tables
from lentilhaven.distribution.table_reader import read_head
from lentilhaven.objects.object_client import ObjectClient, open_object_client
from lentilhaven.objects.vm import ListedVm
from lentilhaven.router.router import open_router
from lentilhaven.router.router_api import router_app
from lentilhaven.router.router_settings import RouterSettings
from lentilhaven.standins.engine import Engine
from lentilhaven.standins.engine_api import serve_engine
from lentilhaven.standins.object_store import ObjectStore
from lentilhaven.standins.service import Service, service_app
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.layer_range import LayerRange
from lentilhaven.tables.tables import Tables
from lentilhaven.testbed.network import Network, PartitionConnector
from lentilhaven.testbed.testbed_plan import TestbedPlan
from lentilhaven.testbed.testbed_vm import TestbedVm
from lentilhaven.testbed.tokens import CLUSTER_TOKEN, WORKSPACE_TOKEN

#: Number of seed agents in the settings of an agent that joins.
SEED_AGENT_COUNT = 2


@attrs.define
class Testbed:
    """
    A running testbed, whose parts can be added, killed and restarted.

    Attributes
    ----------
    plan : TestbedPlan
        Sizes and seed of the testbed.
    stack : AsyncExitStack
        Stops everything at the end, in reverse order of its start.
    clock : Clock
        Source of time.
    store : ObjectStore
        State and injected faults of the platform's stand-in.
    store_url : str
        Base URL of the platform's stand-in.
    client : ObjectClient
        Client of the platform that the operator uses.
    session : aiohttp.ClientSession
        HTTP session of the callers.
    engines : dict
        `Engine` by endpoint.
    services : dict
        `Service` by endpoint.
    vms : list of TestbedVm
        VMs that are running.
    engine_endpoints : list of EndpointSpec
        Engines as entries of the pool table.
    service_endpoints : list of EndpointSpec
        Services as entries of the pool table.
    ports : iterator of int
        Ports to allocate in virtual time.
    network : Network
        Network whose partitions and latency apply in virtual time only.
    start_counts : Counter
        Number of starts of each VM.  Random sources depend on it, so that a
        restarted VM draws other random numbers, as a new process would.
    """

    __test__ = False

    plan: TestbedPlan
    stack: AsyncExitStack
    clock: Clock
    store: ObjectStore
    store_url: str
    client: ObjectClient
    session: aiohttp.ClientSession
    ports: "itertools.count[int]"
    engines: dict[EndpointId, Engine] = attrs.field(factory=dict)
    services: dict[EndpointId, Service] = attrs.field(factory=dict)
    vms: list[TestbedVm] = attrs.field(factory=list)
    engine_endpoints: list[EndpointSpec] = attrs.field(factory=list)
    service_endpoints: list[EndpointSpec] = attrs.field(factory=list)
    network: Network = attrs.field(factory=Network)
    start_counts: Counter[VmId] = attrs.field(factory=Counter)

    @property
    def headers(self) -> dict[str, str]:
        """Return headers with the workspace's token."""
        return {"Authorization": f"Bearer {WORKSPACE_TOKEN}"}

    def connector(
        self, source: str = "", force_close: bool = False
    ) -> aiohttp.BaseConnector:
        """
        Return a connector for virtual time or for real sockets.

        Parameters
        ----------
        source : str
            Name of the VM that uses the connector, to which partitions and latency
            apply; empty for a connector to which neither applies.
        force_close : bool
            Whether to open a new connection for each request.
        """
        if self.plan.virtual:
            return PartitionConnector(self.network, source, force_close)
        return aiohttp.TCPConnector(limit=0, force_close=force_close)

    def next_port(self) -> int:
        """Return the port for another server; 0 to let the system choose."""
        return next(self.ports) if self.plan.virtual else 0

    async def add_engine(
        self, name: str, layers: LayerRange, data_centre: DataCentre
    ) -> Engine:
        """
        Start an engine.

        Parameters
        ----------
        name : str
            Endpoint id.
        layers : LayerRange
            Layers that the engine holds.
        data_centre : str
            Data centre of the engine.
        """
        endpoint = EndpointId(name)
        engine, url = await self.stack.enter_async_context(
            serve_engine(
                endpoint,
                layers,
                self.plan.version,
                self.connector(),
                self.next_port(),
            )
        )
        engine.decode_time = self.plan.decode_time
        self.engines[endpoint] = engine
        spec = EndpointSpec(endpoint, url, data_centre, layers, self.plan.version)
        self.engine_endpoints.append(spec)
        return engine

    async def add_service(self, name: str, data_centre: DataCentre) -> Service:
        """
        Start an endpoint of the plain service.

        Parameters
        ----------
        name : str
            Endpoint id.
        data_centre : str
            Data centre of the service.
        """
        endpoint, service = EndpointId(name), Service()
        url = await self.stack.enter_async_context(
            serve_app(service_app(service), port=self.next_port())
        )
        self.services[endpoint] = service
        self.service_endpoints.append(EndpointSpec(endpoint, url, data_centre))
        return service

    async def add_vm(self, name: str, data_centre: DataCentre) -> TestbedVm:
        """
        Start a VM's agent and router and add the VM to the platform's list.

        Parameters
        ----------
        name : str
            Name of the VM.
        data_centre : str
            Data centre of the VM.
        """
        vm = await self.start_vm(VmId(name), data_centre, self.next_port())
        self.store.vms.append(ListedVm(vm.id, vm.agent_url, data_centre))
        return vm

    async def start_vm(
        self, name: VmId, data_centre: DataCentre, agent_port: int
    ) -> TestbedVm:
        """
        Start a VM's agent and router; the agent can reuse the port of an earlier run.

        Parameters
        ----------
        name : str
            Name of the VM.
        data_centre : str
            Data centre of the VM.
        agent_port : int
            Port of the agent; 0 to let the system choose.
        """
        self.start_counts[name] += 1
        run = str(self.start_counts[name])
        stack = await self.stack.enter_async_context(AsyncExitStack())
        client = await stack.enter_async_context(
            open_object_client(self.store_url, self.connector(name), self.clock)
        )
        agent = await stack.enter_async_context(
            open_agent(
                AgentSettings(name, data_centre, self.store_url, seeds=self.seeds),
                client,
                self.clock,
                derive_random(self.plan.seed, "agent", name, run),
                CLUSTER_TOKEN,
                self.connector(name),
            )
        )
        agent_url = await stack.enter_async_context(
            serve_app(agent_app(agent, CLUSTER_TOKEN), port=agent_port)
        )
        router_settings = RouterSettings(
            name, data_centre, agent_url, drain_delay=self.plan.drain_delay
        )
        rng = derive_random(self.plan.seed, "router", name, run)
        router = await stack.enter_async_context(
            open_router(
                router_settings,
                self.clock,
                rng,
                CLUSTER_TOKEN,
                self.connector(name),
                self.connector(name, force_close=True),
            )
        )
        url = await stack.enter_async_context(
            serve_app(router_app(router), port=self.next_port())
        )
        # The router's address is not registered: requests to it are never blocked.
        self.network.register_address(name, agent_url)
        vm = TestbedVm(name, data_centre, agent, router, url, agent_url, stack)
        self.vms.append(vm)
        return vm

    async def kill_vm(self, vm: TestbedVm) -> None:
        """
        Stop a VM without announcing it; it stays in the platform's list.

        Parameters
        ----------
        vm : TestbedVm
            VM to stop.
        """
        self.vms.remove(vm)
        await vm.stack.aclose()

    async def restart_vm(self, vm: TestbedVm) -> TestbedVm:
        """
        Kill a VM and start it again, with its agent on the same port.

        Parameters
        ----------
        vm : TestbedVm
            VM to restart.
        """
        await self.kill_vm(vm)
        port = URL(vm.agent_url).port or 0
        return await self.start_vm(vm.id, vm.data_centre, port)

    @property
    def seeds(self) -> list[str]:
        """Return the URLs of the seed agents in the settings of an agent that joins."""
        return [vm.agent_url for vm in self.vms[:SEED_AGENT_COUNT]]

    async def apply(self, tables: Tables, edit: str) -> int:
        """
        Commit tables and return their version.

        Parameters
        ----------
        tables : Tables
            Tables to commit.
        edit : str
            Unique id of the edit.

        Raises
        ------
        RuntimeError
            If the platform cannot be read or the edit is not accepted.
        """
        head = await read_head(self.client)
        if head.is_error():
            raise RuntimeError(str(head.error))
        outcome = await commit_tables(self.client, head.ok, tables, edit, "testbed")
        if outcome.is_error() or not isinstance(outcome.ok, Committed):
            raise RuntimeError(f"edit {edit!r} was not accepted: {outcome}")
        return outcome.ok.head.version

    async def wait_until_adopted(self, version: int, timeout: float = 10.0) -> float:
        """
        Wait until every router uses a version; return the seconds taken.

        Parameters
        ----------
        version : int
            Version of the tables; later versions count as well.
        timeout : float
            Seconds of the testbed's clock after which `TimeoutError` is raised.
        """
        began = self.clock.monotonic()
        while any(vm.router.view.tables.version < version for vm in self.vms):
            if self.clock.monotonic() - began > timeout:
                raise TimeoutError(
                    f"tables version {version} is not in use on every router"
                )
            await self.clock.sleep(0.01)
        return self.clock.monotonic() - began


def derive_testbed_random(testbed: Testbed, *names: str) -> random.Random:
    """Return a random source derived from the testbed's seed."""
    return derive_random(testbed.plan.seed, *names)
