"""Setup and measurement of agents that ``scripts/control-fleet`` has started."""

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
WORKSPACE_COUNT = 20_000

#: Seconds within which all agents must become ready.
START_TIMEOUT = 300.0

#: Seconds between the readiness of all agents and the measurement.
SETTLE_TIME = 15.0


@attrs.define
class FleetObserver:
    """
    Client of a running fleet and its store.

    Attributes
    ----------
    agents : list of FleetAgent
        Processes of the fleet.
    session : aiohttp.ClientSession
        Session for requests to the agents and the store.
    client : ObjectClient
        Client of the store's stand-in.
    store : str
        URL of the store's stand-in.
    token : str
        Cluster token.
    head : TableHead
        Table head of the last edit.
    tables : Tables
        Tables of the last edit.  They are not read from the store again, since
        that would count as traffic of the agents.
    edits : int
        Number of edits accepted so far.
    """

    agents: list[FleetAgent]
    session: aiohttp.ClientSession
    client: ObjectClient
    store: str
    token: str
    head: TableHead = attrs.field(factory=TableHead)
    tables: Tables = attrs.field(factory=Tables)
    edits: int = 0

    async def register_agents(self) -> None:
        """Register all agents in the platform's list of VMs."""
        vms = [
            {"id": it.vm, "address": it.url, "data_centre": it.data_centre}
            for it in self.agents
        ]
        async with self.session.put(f"{self.store}/vms", json=vms) as response:
            response.raise_for_status()

    async def apply(self, tables: Tables, edit: str) -> None:
        """
        Commit tables to the store.

        Raises
        ------
        RuntimeError
            If the edit is not committed.
        """
        outcome = await commit_tables(self.client, self.head, tables, edit, "bench")
        if outcome.is_error() or not isinstance(outcome.ok, Committed):
            raise RuntimeError(f"edit {edit!r} was not committed: {outcome}")
        self.head, self.tables = outcome.ok.head, tables
        self.edits += 1

    async def wait_until_all_ready(self) -> None:
        """Wait until every agent serves tables."""
        async with asyncio.timeout(START_TIMEOUT):
            for agent in self.agents:
                await self.wait_until_ready(agent)

    async def wait_until_ready(self, agent: FleetAgent) -> None:
        """Wait until one agent serves tables."""
        while True:
            if await self.is_ready(agent):
                return
            await asyncio.sleep(0.5)

    async def is_ready(self, agent: FleetAgent) -> bool:
        """Return whether an agent reports that it is ready."""
        headers = {"Authorization": f"Bearer {self.token}"}
        try:
            async with self.session.get(
                f"{agent.url}/readyz", headers=headers
            ) as response:
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def count_suspected(self) -> int:
        """Return the number of VMs that an agent suspects, summed over all agents."""
        count = 0
        headers = {"Authorization": f"Bearer {self.token}"}
        for agent in self.agents:
            url = f"{agent.url}/status"
            async with self.session.get(url, headers=headers) as response:
                count += len((await response.json())["suspected"])
        return count

    async def edit_repeatedly(self, interval: float) -> None:
        """Change the weight of a workspace at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(interval)
            # The prime 7919 does not divide `WORKSPACE_COUNT`, so that successive
            # edits reach all workspaces in turn.
            index = self.edits * 7919 % len(self.tables.workspaces)
            workspaces = list(self.tables.workspaces)
            weight = 1.0 + self.edits
            workspaces[index] = attrs.evolve(workspaces[index], weight=weight)
            edited = attrs.evolve(self.tables, workspaces=workspaces)
            await self.apply(edited, f"edit-{self.edits}")

    async def sample(self) -> FleetSample:
        """Return the current totals over all agents."""
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


def make_fleet_tables(reports: str, replicas: int, data_centres: list[str]) -> Tables:
    """
    Return tables with many endpoints and `WORKSPACE_COUNT` workspaces.

    Parameters
    ----------
    reports : str
        URL of the endpoints' stand-in.
    replicas : int
        Number of endpoints.
    data_centres : list of str
        Data centres to which the endpoints are assigned in turn.
    """
    specs = [
        EndpointSpec(
            EndpointId(f"engine-{index}"),
            f"{reports}/engine-{index}",
            DataCentre(data_centres[index % len(data_centres)]),
            LayerRange(0, 4),
            ModelVersion("v1"),
        )
        for index in range(replicas)
    ]
    pool = Pool(PoolName("llm"), PoolKind.ENGINE, specs, ModelName("lentil"), 4)
    workspaces = [
        Workspace(WorkspaceId(f"workspace-{index}"), [token_hash(str(index))])
        for index in range(WORKSPACE_COUNT)
    ]
    return Tables([Route(RouteName("chat"), pool.name)], [pool], workspaces)


@asynccontextmanager
async def open_observer(folder: Path, store: str) -> AsyncIterator[FleetObserver]:
    """
    Open an observer of a fleet.

    Parameters
    ----------
    folder : Path
        Working folder of ``scripts/control-fleet``.
    store : str
        URL of the store's stand-in.
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
    Set up a fleet and measure its cost.

    Parameters
    ----------
    folder : Path
        Working folder of ``scripts/control-fleet``.
    store, reports : str
        URLs of the stand-ins of the store and of the endpoints.
    replicas : int
        Number of endpoints in the tables.
    edits_per_minute : float
        Rate of edits during the measurement; 0 for an idle fleet.
    seconds : float
        Length of the measurement in seconds.
    """
    async with open_observer(folder, store) as fleet:
        data_centres = sorted({agent.data_centre for agent in fleet.agents})
        await fleet.register_agents()
        await fleet.apply(make_fleet_tables(reports, replicas, data_centres), "initial")
        await fleet.wait_until_all_ready()
        busy = edits_per_minute > 0
        editing = [fleet.edit_repeatedly(60.0 / edits_per_minute)] if busy else []
        async with running_tasks(*editing):
            await asyncio.sleep(SETTLE_TIME)
            before, edits = await fleet.sample(), fleet.edits
            await asyncio.sleep(seconds)
            after = await fleet.sample()
        suspected = await fleet.count_suspected()
    accepted = fleet.edits - edits
    cost = compare_samples(before, after, len(fleet.agents), replicas, accepted)
    return attrs.evolve(cost, suspected=suspected)
