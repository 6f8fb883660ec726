"""Sets up a fleet that a script has started, and measures it."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
import attrs

from lentilhaven.bench.fleet_sample import (
    FleetAgent,
    FleetCost,
    FleetSample,
    compare_samples,
    read_agents,
    read_loopback,
    read_memory,
    read_processor,
)
from lentilhaven.core.hashing import token_hash
from lentilhaven.core.ids import (
    DataCentre,
    EndpointId,
    ModelName,
    ModelVersion,
    PoolName,
    RouteName,
    WorkspaceId,
)
from lentilhaven.core.tasks import running_tasks
from lentilhaven.distribution.commit import Committed, commit_tables
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.objects.object_client import ObjectClient, open_object_client
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.layer_range import LayerRange
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.workspace import Workspace

#: Number of workspaces in the tables.
WORKSPACES = 20_000

#: Seconds within which all agents must be ready.
START_TIME = 300.0

#: Seconds between readiness and the measurement.
SETTLE_TIME = 15.0


@attrs.define
class FleetObserver:
    """
    Access to a fleet.

    Attributes
    ----------
    agents : list of FleetAgent
        The processes.
    session : aiohttp.ClientSession
        Connections.
    client : ObjectClient
        The store's stand-in.
    store : str
        Its address.
    token : str
        The cluster's token.
    head : TableHead
        The head of the last edit.
    tables : Tables
        The tables of the last edit; they are not read again, since that would
        count as traffic of the agents.
    edits : int
        Edits accepted so far.
    """

    agents: list[FleetAgent]
    session: aiohttp.ClientSession
    client: ObjectClient
    store: str
    token: str
    head: TableHead = attrs.field(factory=TableHead)
    tables: Tables = attrs.field(factory=Tables)
    edits: int = 0

    async def enter_list(self) -> None:
        """Enter all agents into the platform's list."""
        vms = [
            {"id": it.vm, "address": it.url, "data_centre": it.data_centre}
            for it in self.agents
        ]
        async with self.session.put(f"{self.store}/vms", json=vms) as response:
            response.raise_for_status()

    async def apply(self, tables: Tables, edit: str) -> None:
        """Put tables in force."""
        outcome = await commit_tables(self.client, self.head, tables, edit, "bench")
        if outcome.is_error() or not isinstance(outcome.ok, Committed):
            raise RuntimeError(f"the edit was not accepted: {outcome}")
        self.head, self.tables = outcome.ok.head, tables
        self.edits += 1

    async def wait_ready(self) -> None:
        """Wait until every agent serves tables."""
        async with asyncio.timeout(START_TIME):
            for agent in self.agents:
                await self.wait_for(agent)

    async def wait_for(self, agent: FleetAgent) -> None:
        """Wait until one agent serves tables."""
        while True:
            if await self.is_ready(agent):
                return
            await asyncio.sleep(0.5)

    async def is_ready(self, agent: FleetAgent) -> bool:
        """Return whether an agent serves tables."""
        headers = {"Authorization": f"Bearer {self.token}"}
        try:
            async with self.session.get(
                f"{agent.url}/readyz", headers=headers
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def count_suspected(self) -> int:
        """Return how many VMs are suspected by how many agents, in all."""
        count = 0
        headers = {"Authorization": f"Bearer {self.token}"}
        for agent in self.agents:
            url = f"{agent.url}/status"
            async with self.session.get(url, headers=headers) as response:
                count += len((await response.json())["suspected"])
        return count

    async def edit_repeatedly(self, interval: float) -> None:
        """Change a workspace's weight at regular intervals, for ever."""
        while True:
            await asyncio.sleep(interval)
            index = self.edits * 7919 % len(self.tables.workspaces)
            workspaces = list(self.tables.workspaces)
            weight = 1.0 + self.edits
            workspaces[index] = attrs.evolve(workspaces[index], weight=weight)
            edited = attrs.evolve(self.tables, workspaces=workspaces)
            await self.apply(edited, f"edit-{self.edits}")

    async def sample(self) -> FleetSample:
        """Return the totals now."""
        async with self.session.get(f"{self.store}/stats") as response:
            stats = await response.json()
        return FleetSample(
            time.monotonic(),
            sum(read_processor(agent.pid) for agent in self.agents),
            max(read_memory(agent.pid) for agent in self.agents),
            read_loopback(),
            stats["reads"] + stats["writes"],
            stats["waiting"],
        )


def make_fleet_tables(reports: str, replicas: int, places: list[str]) -> Tables:
    """
    Return tables with many endpoints and workspaces.

    Parameters
    ----------
    reports : str
        Address of the endpoints' stand-in.
    replicas : int
        Number of endpoints.
    places : list of str
        Data centres.
    """
    specs = [
        EndpointSpec(
            EndpointId(f"engine-{index}"),
            f"{reports}/engine-{index}",
            DataCentre(places[index % len(places)]),
            LayerRange(0, 4),
            ModelVersion("v1"),
        )
        for index in range(replicas)
    ]
    pool = Pool(PoolName("llm"), PoolKind.ENGINE, specs, ModelName("lentil"), 4)
    workspaces = [
        Workspace(WorkspaceId(f"workspace-{index}"), [token_hash(str(index))])
        for index in range(WORKSPACES)
    ]
    return Tables([Route(RouteName("chat"), pool.name)], [pool], workspaces)


@asynccontextmanager
async def open_observer(folder: Path, store: str) -> AsyncIterator[FleetObserver]:
    """
    Open access to a fleet.

    Parameters
    ----------
    folder : Path
        The wrapper script's folder.
    store : str
        Address of the store's stand-in.
    """
    token = (folder / "token").read_text(encoding="utf-8").strip()
    async with (
        aiohttp.ClientSession() as session,
        open_object_client(store) as client,
    ):
        yield FleetObserver(read_agents(folder), session, client, store, token)


async def observe_fleet(
    folder: Path,
    store: str,
    reports: str,
    replicas: int,
    edits_per_minute: float,
    seconds: float,
) -> FleetCost:
    """
    Set a fleet up and measure it.

    Parameters
    ----------
    folder : Path
        The wrapper script's folder.
    store, reports : str
        Addresses of the stand-ins.
    replicas : int
        Number of endpoints in the tables.
    edits_per_minute : float
        Edits during the measurement; 0 for an idle fleet.
    seconds : float
        Length of the measurement.
    """
    async with open_observer(folder, store) as fleet:
        places = sorted({agent.data_centre for agent in fleet.agents})
        await fleet.enter_list()
        await fleet.apply(make_fleet_tables(reports, replicas, places), "initial")
        await fleet.wait_ready()
        busy = edits_per_minute > 0
        editing = [fleet.edit_repeatedly(60.0 / edits_per_minute)] if busy else []
        async with running_tasks(*editing):
            await asyncio.sleep(SETTLE_TIME)
            before, edits = await fleet.sample(), fleet.edits
            await asyncio.sleep(seconds)
            after = await fleet.sample()
        suspected = await fleet.count_suspected()
    made = fleet.edits - edits
    cost = compare_samples(before, after, len(fleet.agents), replicas, made)
    return attrs.evolve(cost, suspected=suspected)
