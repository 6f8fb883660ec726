"""The state of a router."""

import asyncio
import random
import secrets
import weakref
from collections import Counter, deque
from collections.abc import AsyncIterator, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import Any

import aiohttp
import attrs

from lentilhaven.answers.event_id import derive_key
from lentilhaven.control.view import EndpointState, View
from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId, PoolName, RouteName, WorkspaceId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import report_task_failure, running_tasks
from lentilhaven.core.tls import client_context
from lentilhaven.endpoints.engine_client import EngineClient
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.trace_forwarding import trace_forwarding
from lentilhaven.idempotency.settler import Settler
from lentilhaven.limits.quota import Quota
from lentilhaven.retries.circuit_board import CircuitBoard
from lentilhaven.retries.retry_budget import RetryBudget
from lentilhaven.router.agent_client import AgentClient
from lentilhaven.router.path_state import PathState
from lentilhaven.router.pool_admission import PoolAdmission
from lentilhaven.router.request_record import RequestRecord
from lentilhaven.router.router_settings import RouterSettings
from lentilhaven.router.view_holder import ViewHolder
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables

#: Seconds before the view is asked for again after the agent was lost.
AGENT_RETRY_DELAY = 0.2

#: Routing decisions that are kept for the state dump.
DECISIONS_KEPT = 256

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
    holder : ViewHolder
        Makes the view from the agent's updates.
    in_flight : int
        Requests being answered.
    own_load : Counter
        Requests of this router in flight, by endpoint.
    draining : bool
        Whether new requests are refused.
    cutting : bool
        Whether the requests in flight are being cut off.
    requests : dict
        `RequestRecord` of each request in flight, by its task.
    transports : set of asyncio.Transport
        Connections of callers.
    idle : asyncio.Event
        Set while nothing is in flight.
    counters : Counter
        Events by name, for the state dump.
    decisions : deque
        Newest routing decisions, for the state dump.
    circuits : CircuitBoard
        Endpoints that have failed lately.
    budgets : dict
        `RetryBudget` by route.
    event_key : bytes
        Signs event ids.
    background : set of asyncio.Task
        Work that outlives its request.
    fresh : aiohttp.ClientSession or None
        Opens a connection for each request.
    settler : Settler
        Settles non-idempotent calls in the background.
    paths : dict
        `PathState` by pool.
    admissions : dict
        `PoolAdmission` by pool.
    quotas : dict
        `Quota` by workspace that has limits.
    """

    settings: RouterSettings
    session: aiohttp.ClientSession
    engines: EngineClient
    agent: AgentClient
    clock: Clock
    random: random.Random
    view: View = attrs.field(factory=lambda: View(-1, Tables()))
    holder: ViewHolder = attrs.field(factory=ViewHolder)
    in_flight: int = 0
    own_load: Counter[EndpointId] = attrs.field(factory=Counter)
    leaving: bool = False
    draining: bool = False
    cutting: bool = False
    requests: dict[asyncio.Task, RequestRecord] = attrs.field(factory=dict)
    transports: weakref.WeakSet[asyncio.Transport] = attrs.field(
        factory=weakref.WeakSet
    )
    idle: asyncio.Event = attrs.field(factory=asyncio.Event)
    counters: Counter[str] = attrs.field(factory=Counter)
    decisions: deque = attrs.field(factory=lambda: deque(maxlen=DECISIONS_KEPT))
    circuits: CircuitBoard = attrs.field(
        default=attrs.Factory(lambda self: CircuitBoard(self.random), takes_self=True)
    )
    budgets: dict[RouteName, RetryBudget] = attrs.field(factory=dict)
    event_key: bytes = b""
    background: set[asyncio.Task] = attrs.field(factory=set)
    fresh: aiohttp.ClientSession | None = None
    settler: Settler = attrs.field(
        default=attrs.Factory(
            lambda self: Settler(self.agent.settle, self.clock), takes_self=True
        )
    )
    paths: dict[PoolName, PathState] = attrs.field(factory=dict)
    admissions: dict[PoolName, PoolAdmission] = attrs.field(factory=dict)
    quotas: dict[WorkspaceId, Quota] = attrs.field(factory=dict)

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send new requests here."""
        leaving = self.leaving or self.view.leaving
        return self.view.tables.version > 0 and not leaving

    def may_use(self, endpoint: EndpointId) -> bool:
        """
        Return whether an endpoint may get new work.

        Parameters
        ----------
        endpoint : str
            The endpoint.
        """
        view = self.view.endpoints.get(endpoint)
        if view is not None and view.state is not EndpointState.LIVE:
            return False
        in_flight = self.own_load[endpoint]
        return self.circuits.allows(endpoint, self.clock.monotonic(), in_flight)

    def budget(self, route: Route) -> RetryBudget:
        """
        Return the retry budget of a route.

        Parameters
        ----------
        route : Route
            The route, with the ratio in force.
        """
        budget = self.budgets.setdefault(route.name, RetryBudget(route.retry.budget))
        budget.ratio = route.retry.budget
        return budget

    @contextmanager
    def counted_use(self, chain: list[Stage]) -> Iterator[None]:
        """Count a request at every stage of a chain while the context lasts."""
        names = [stage.endpoint for stage in chain]
        self.own_load.update(names)
        try:
            yield
        finally:
            self.own_load.subtract(names)

    @contextmanager
    def counted_request(self, method: str = "", path: str = "") -> Iterator[None]:
        """
        Count a request as in flight while the context lasts.

        Parameters
        ----------
        method : str
            Its HTTP method.
        path : str
            Its path.
        """
        task = asyncio.current_task()
        self.in_flight += 1
        self.idle.clear()
        if task is not None:
            began = self.clock.monotonic()
            self.requests[task] = RequestRecord(method, path, began)
        try:
            yield
        finally:
            if task is not None:
                del self.requests[task]
            self.in_flight -= 1
            if self.in_flight == 0:
                self.idle.set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """
        Run something after its request has been answered.

        Parameters
        ----------
        work : coroutine
            What to run; it is cancelled when the router closes.
        """
        task = asyncio.create_task(work)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        task.add_done_callback(report_task_failure)

    async def close(self) -> None:
        """Cancel what runs in the background."""
        tasks = list(self.background)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @contextmanager
    def counted_service(self, endpoint: EndpointId) -> Iterator[None]:
        """Count a call at a plain service while the context lasts."""
        self.own_load[endpoint] += 1
        try:
            yield
        finally:
            self.own_load[endpoint] -= 1

    async def follow_view(self) -> None:
        """Adopt every newer view of the agent, for ever."""
        while True:
            outcome = await self.agent.read_view(
                self.holder.run, self.holder.sequence, self.view.tables.version
            )
            if outcome.is_error():
                log.warning("agent did not answer", error=str(outcome.error))
                await self.clock.sleep(AGENT_RETRY_DELAY)
                continue
            adopted = self.holder.adopt(outcome.ok, self.clock.monotonic())
            if adopted.is_error():
                log.error("agent sent a view that can't be used", error=adopted.error)
                await self.clock.sleep(AGENT_RETRY_DELAY)
                continue
            self.view = adopted.ok


@asynccontextmanager
async def open_router(
    settings: RouterSettings,
    clock: Clock,
    random: random.Random,
    token: str,
    connector: aiohttp.BaseConnector | None = None,
    fresh_connector: aiohttp.BaseConnector | None = None,
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
    fresh_connector : aiohttp.BaseConnector or None
        Replaces the TCP connector that opens a connection for each request.
    """
    if connector is None:
        ssl = client_context(settings.endpoint_ca_file)
        connector = aiohttp.TCPConnector(limit=0, ssl=ssl)
    if fresh_connector is None:
        ssl = client_context(settings.endpoint_ca_file)
        fresh_connector = aiohttp.TCPConnector(limit=0, force_close=True, ssl=ssl)
    trace = [trace_forwarding()]
    async with (
        aiohttp.ClientSession(connector=connector, trace_configs=trace) as session,
        aiohttp.ClientSession(connector=fresh_connector, trace_configs=trace) as fresh,
    ):
        agent = AgentClient(settings.agent_url, session, token)
        engines = EngineClient(session, fresh)
        router = Router(settings, session, engines, agent, clock, random)
        router.fresh = fresh
        router.idle.set()
        # Without a shared token, ids are good at this process only.
        shared = token or secrets.token_hex()
        router.event_key = derive_key(shared)
        async with running_tasks(router.follow_view()):
            try:
                yield router
            finally:
                await router.close()
                await router.settler.close()
