"""The state of a router."""

import asyncio
import random
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import TYPE_CHECKING

import aiohttp
import attrs

from lentilhaven.control.view import EndpointState, View
from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId, PoolName
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import running_tasks
from lentilhaven.endpoints.engine_client import EngineClient
from lentilhaven.router.agent_client import AgentClient
from lentilhaven.router.path_state import PathState
from lentilhaven.router.router_settings import RouterSettings
from lentilhaven.tables.tables import Tables

if TYPE_CHECKING:
    from lentilhaven.router.admission import Admission

#: Seconds before the view is asked for again after the agent was lost.
AGENT_RETRY_DELAY = 0.2

log = get_logger("router")


@attrs.define
class Router:
    """
    The data path of one VM.

    Attributes
    ----------
    settings : RouterSettings
        Settings.
    session : aiohttp.ClientSession
        Connections to endpoints.
    engines : EngineClient
        Client of model engines.
    agent : AgentClient
        Client of this VM's agent.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    view : View
        The newest view.
    in_flight : int
        Requests being answered.
    own_load : Counter
        Requests of this router in flight, by endpoint.
    draining : bool
        Whether new requests are refused.
    idle : asyncio.Event
        Set while nothing is in flight.
    counters : Counter
        Events by name, for the state dump.
    paths : dict
        `PathState` by pool.
    admissions : dict
        `Admission` by pool.
    """

    settings: RouterSettings
    session: aiohttp.ClientSession
    engines: EngineClient
    agent: AgentClient
    clock: Clock
    random: random.Random
    view: View = attrs.field(factory=lambda: View(-1, Tables()))
    in_flight: int = 0
    own_load: Counter[EndpointId] = attrs.field(factory=Counter)
    leaving: bool = False
    draining: bool = False
    idle: asyncio.Event = attrs.field(factory=asyncio.Event)
    counters: Counter[str] = attrs.field(factory=Counter)
    paths: dict[PoolName, PathState] = attrs.field(factory=dict)
    admissions: dict[PoolName, "Admission"] = attrs.field(factory=dict)

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send new requests here."""
        return self.view.tables.version > 0 and not self.leaving

    def may_use(self, endpoint: EndpointId) -> bool:
        """
        Return whether an endpoint may get new work.

        Parameters
        ----------
        endpoint : str
            The endpoint.
        """
        view = self.view.endpoints.get(endpoint)
        return view is None or view.state is EndpointState.LIVE

    @contextmanager
    def counted_request(self) -> Iterator[None]:
        """Count a request as in flight while the context lasts."""
        self.in_flight += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.in_flight -= 1
            if self.in_flight == 0:
                self.idle.set()

    async def follow_view(self) -> None:
        """Adopt every newer view of the agent, for ever."""
        while True:
            outcome = await self.agent.read_view(self.view.sequence)
            if outcome.is_error():
                log.warning("agent did not answer", error=str(outcome.error))
                await self.clock.sleep(AGENT_RETRY_DELAY)
                continue
            self.adopt(outcome.ok)

    def adopt(self, view: View) -> None:
        """
        Put a view in force unless its tables are older.

        Parameters
        ----------
        view : View
            What the agent has sent.  An agent that restarted may be behind.
        """
        if view.tables.version < self.view.tables.version:
            view = attrs.evolve(view, tables=self.view.tables)
        self.view = view


@asynccontextmanager
async def open_router(
    settings: RouterSettings,
    clock: Clock,
    random: random.Random,
    token: str,
    connector: aiohttp.BaseConnector | None = None,
) -> AsyncIterator[Router]:
    """
    Run a router's tasks until the context ends.

    Parameters
    ----------
    settings : RouterSettings
        Settings.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    token : str
        The cluster's token.
    connector : aiohttp.BaseConnector or None
        Replaces the TCP connector, for virtual time.
    """
    if connector is None:
        connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        agent = AgentClient(settings.agent_url, session, token)
        engines = EngineClient(session)
        router = Router(settings, session, engines, agent, clock, random)
        router.idle.set()
        async with running_tasks(router.follow_view()):
            yield router
