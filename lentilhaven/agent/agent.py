"""The state and the tasks of an agent."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import attrs

from lentilhaven.agent.agent_settings import AgentSettings
from lentilhaven.control.view import EndpointState, EndpointView, View
from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.invariants import ensure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import running_tasks
from lentilhaven.distribution.table_head import HEAD_NAME
from lentilhaven.distribution.table_reader import read_head, read_tables
from lentilhaven.idempotency import JournalNode, open_journal_host
from lentilhaven.platform.object_client import ObjectClient
from lentilhaven.tables.tables import Tables

#: Seconds that a watch waits for a change.
WATCH_TIMEOUT = 5.0

#: Seconds before a failed read of the store is repeated.
RETRY_DELAY = 0.5

log = get_logger("agent")


@attrs.define
class Agent:
    """
    The control state of one VM.

    Attributes
    ----------
    settings : AgentSettings
        Settings.
    client : ObjectClient
        The platform's store.
    clock : Clock
        Source of time.
    journal : JournalNode
        Claims on non-idempotent calls.
    view : View
        What the router is told.
    changed : asyncio.Condition
        Notified when the view changes.
    """

    settings: AgentSettings
    client: ObjectClient
    clock: Clock
    journal: JournalNode
    view: View = attrs.field(factory=lambda: View(0, Tables()))
    changed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    @property
    def ready(self) -> bool:
        """Return whether the agent has tables to serve."""
        return self.view.tables.version > 0

    async def adopt(self, tables: Tables) -> None:
        """
        Put newer tables in force.

        Parameters
        ----------
        tables : Tables
            Tables with a version above the one in force.
        """
        held = self.view.tables.version
        ensure(tables.version > held, "version-rises", (held, tables.version))
        endpoints = endpoint_views(tables, self.view.endpoints)
        await self.publish(attrs.evolve(self.view, tables=tables, endpoints=endpoints))
        log.info("tables are in force", version=tables.version)

    async def publish(self, view: View) -> None:
        """
        Replace the view and wake the routers that wait for it.

        Parameters
        ----------
        view : View
            The new view; its sequence is set here.
        """
        async with self.changed:
            self.view = attrs.evolve(view, sequence=self.view.sequence + 1)
            self.changed.notify_all()

    async def wait_for_view(self, after: int, timeout: float) -> View:
        """
        Return the view once it is newer than a sequence number.

        Parameters
        ----------
        after : int
            Sequence already seen; another run's number is never waited for.
        timeout : float
            Seconds after which the view is returned anyway.
        """
        try:
            async with asyncio.timeout(timeout), self.changed:
                await self.changed.wait_for(lambda: self.view.sequence != after)
        except TimeoutError:
            pass
        return self.view

    async def follow_tables(self) -> None:
        """Adopt every new version of the tables, for ever."""
        seen = 0
        while True:
            head = await read_head(self.client)
            if head.is_error():
                log.warning("object API did not answer", error=str(head.error))
                await self.clock.sleep(RETRY_DELAY)
                continue
            seen = max(seen, head.ok.object_version)
            if head.ok.version > self.view.tables.version:
                tables = await read_tables(self.client, head.ok)
                if tables.is_error():
                    log.warning("tables can't be read", error=str(tables.error))
                    await self.clock.sleep(RETRY_DELAY)
                    continue
                await self.adopt(tables.ok)
            watched = await self.client.watch(HEAD_NAME, seen, WATCH_TIMEOUT)
            if watched.is_error():
                await self.clock.sleep(RETRY_DELAY)


def endpoint_views(
    tables: Tables, known: dict[EndpointId, EndpointView]
) -> dict[EndpointId, EndpointView]:
    """
    Return the views of all endpoints that the tables name.

    Parameters
    ----------
    tables : Tables
        The tables in force.
    known : dict
        `EndpointView` by endpoint, before.
    """
    views = {}
    for pool in tables.pools:
        for spec in pool.endpoints:
            view = known.get(spec.id, EndpointView(EndpointState.LIVE))
            if spec.leaving:
                view = attrs.evolve(view, state=EndpointState.LEAVING)
            elif view.state is EndpointState.LEAVING:
                view = attrs.evolve(view, state=EndpointState.LIVE)
            views[spec.id] = view
    return views


@asynccontextmanager
async def open_agent(
    settings: AgentSettings,
    client: ObjectClient,
    clock: Clock,
    token: str = "",
    connector: aiohttp.BaseConnector | None = None,
) -> AsyncIterator[Agent]:
    """
    Run an agent's tasks until the context ends.

    Parameters
    ----------
    settings : AgentSettings
        Settings.
    client : ObjectClient
        The platform's store.
    clock : Clock
        Source of time.
    token : str
        The cluster's token.
    connector : aiohttp.BaseConnector or None
        Replaces the TCP connector towards other agents, for virtual time.
    """
    async with open_journal_host(
        settings.vm, client, clock, token, connector
    ) as journal:
        agent = Agent(settings, client, clock, journal)
        async with running_tasks(agent.follow_tables()):
            yield agent
