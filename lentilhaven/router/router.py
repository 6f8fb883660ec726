"""State of a router, and its background tasks."""

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
from lentilhaven.core.client_session import open_session
from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId, PoolName, RouteName, WorkspaceId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.tasks import report_task_failure, running_tasks
from lentilhaven.core.tls import client_context
from lentilhaven.draining.time_limits import TimeLimits
from lentilhaven.endpoints.engine_client import EngineClient
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.trace_forwarding import trace_forwarding
from lentilhaven.idempotency.settler import Settler
from lentilhaven.limits.quota import Quota
from lentilhaven.retries.circuit_breakers import CircuitBreakers
from lentilhaven.retries.retry_budget import RetryBudget
from lentilhaven.router.agent_client import AgentClient
from lentilhaven.router.crash_checks import CrashWatch
from lentilhaven.router.path_state import PathState
from lentilhaven.router.pool_admission import PoolAdmission
from lentilhaven.router.request_record import RequestRecord
from lentilhaven.router.router_settings import RouterSettings
from lentilhaven.router.view_holder import ViewHolder
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables

#: Delay before polling the view again after a failed poll, in seconds.
AGENT_RETRY_DELAY = 0.2

#: Number of recent routing decisions in the state dump.
MAX_DECISIONS = 256

log = get_logger("router")


@attrs.define
class Router:
    """
    State of the data path of one VM.

    Attributes
    ----------
    settings : RouterSettings
        Settings of the router.
    session : aiohttp.ClientSession
        Pooled connections to endpoints.
    engines : EngineClient
        Client of model engines.
    agent : AgentClient
        Client of this VM's agent.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator.
    view : View
        Latest view received from the agent.
    view_holder : ViewHolder
        Builds the view from the agent's updates.
    in_flight : int
        Number of requests in flight.
    own_load : Counter
        Number of this router's requests in flight, by endpoint.
    leaving : bool
        Whether a shutdown has begun; the router then reports that it is not ready.
    draining : bool
        Whether new requests are refused.
    intake_limits : TimeLimits
        Limits the reading of requests' bodies.
    cutting_off : bool
        Whether a shutdown is cancelling the requests in flight.
    requests : dict
        `RequestRecord` of each request in flight, by its task.
    transports : set of asyncio.Transport
        Open connections of callers.
    idle : asyncio.Event
        Set while no request is in flight.
    counters : Counter
        Number of events by name, for the state dump and the metrics.
    decisions : deque
        Latest routing decisions, for the state dump.
    circuit_breakers : CircuitBreakers
        Circuit breakers of the endpoints.
    retry_budgets : dict
        `RetryBudget` by the name of the route.
    event_key : bytes
        Key that signs event ids.
    background : set of asyncio.Task
        Tasks that outlive their request.
    unpooled_session : aiohttp.ClientSession or None
        Session that opens a new connection to an endpoint for each request.
    settler : Settler
        Settles non-idempotent calls in the background.
    path_states : dict
        `PathState` by the name of the pool.
    admissions : dict
        `PoolAdmission` by the name of the pool.
    crash_watch : CrashWatch
        The requests during which endpoints have ended.
    quotas : dict
        `Quota` by the id of the workspace, for workspaces that have limits.
    """

    settings: RouterSettings
    session: aiohttp.ClientSession
    engines: EngineClient
    agent: AgentClient
    clock: Clock
    rng: random.Random
    view: View = attrs.field(factory=lambda: View(-1, Tables()))
    view_holder: ViewHolder = attrs.field(factory=ViewHolder)
    in_flight: int = 0
    own_load: Counter[EndpointId] = attrs.field(factory=Counter)
    leaving: bool = False
    draining: bool = False
    intake_limits: TimeLimits = attrs.field(factory=TimeLimits)
    cutting_off: bool = False
    requests: dict[asyncio.Task, RequestRecord] = attrs.field(factory=dict)
    transports: weakref.WeakSet[asyncio.Transport] = attrs.field(
        factory=weakref.WeakSet
    )
    idle: asyncio.Event = attrs.field(factory=asyncio.Event)
    counters: Counter[str] = attrs.field(factory=Counter)
    decisions: deque = attrs.field(factory=lambda: deque(maxlen=MAX_DECISIONS))
    circuit_breakers: CircuitBreakers = attrs.field(
        default=attrs.Factory(lambda self: CircuitBreakers(self.rng), takes_self=True)
    )
    retry_budgets: dict[RouteName, RetryBudget] = attrs.field(factory=dict)
    event_key: bytes = b""
    background: set[asyncio.Task] = attrs.field(factory=set)
    unpooled_session: aiohttp.ClientSession | None = None
    settler: Settler = attrs.field(
        default=attrs.Factory(
            lambda self: Settler(self.agent.settle, self.clock), takes_self=True
        )
    )
    path_states: dict[PoolName, PathState] = attrs.field(factory=dict)
    admissions: dict[PoolName, PoolAdmission] = attrs.field(factory=dict)
    crash_watch: CrashWatch = attrs.field(factory=CrashWatch)
    quotas: dict[WorkspaceId, Quota] = attrs.field(factory=dict)

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send new requests here."""
        leaving = self.leaving or self.view.leaving
        return self.view.tables.version > 0 and not leaving

    def may_use(self, endpoint: EndpointId) -> bool:
        """
        Return whether an endpoint is live and its circuit breaker admits a request.

        An endpoint that is missing from the view counts as live.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        """
        view = self.view.endpoints.get(endpoint)
        if view is not None and view.state is not EndpointState.LIVE:
            return False
        in_flight = self.own_load[endpoint]
        return self.circuit_breakers.allows(endpoint, self.clock.monotonic(), in_flight)

    def retry_budget(self, route: Route) -> RetryBudget:
        """
        Return the retry budget of a route, updated to the route's current ratio.

        Parameters
        ----------
        route : Route
            Route from the current tables.
        """
        budget = self.retry_budgets.setdefault(
            route.name, RetryBudget(route.retry.budget)
        )
        budget.ratio = route.retry.budget
        return budget

    @contextmanager
    def counted_chain(self, chain: list[Stage]) -> Iterator[None]:
        """Add one to `own_load` for every endpoint of a chain within the context."""
        endpoints = [stage.endpoint for stage in chain]
        self.own_load.update(endpoints)
        try:
            yield
        finally:
            self.own_load.subtract(endpoints)

    @contextmanager
    def counted_request(self, method: str = "", path: str = "") -> Iterator[None]:
        """
        Count the current task's request as in flight within the context.

        Parameters
        ----------
        method : str
            HTTP method of the request.
        path : str
            URL path of the request.
        """
        task = asyncio.current_task()
        self.in_flight += 1
        self.idle.clear()
        if task is not None:
            started_at = self.clock.monotonic()
            self.requests[task] = RequestRecord(method, path, started_at)
        try:
            yield
        finally:
            if task is not None:
                del self.requests[task]
            self.in_flight -= 1
            if self.in_flight == 0:
                self.idle.set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """
        Run a coroutine in a background task that may outlive its request.

        Parameters
        ----------
        coroutine : coroutine
            Coroutine to run; it is cancelled when the router closes.
        """
        task = asyncio.create_task(coroutine)
        self.background.add(task)
        task.add_done_callback(self.background.discard)
        task.add_done_callback(report_task_failure)

    async def close(self) -> None:
        """Cancel all background tasks and wait until they have ended."""
        tasks = list(self.background)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @contextmanager
    def counted_service_call(self, endpoint: EndpointId) -> Iterator[None]:
        """Add one to `own_load` for a plain service's endpoint within the context."""
        self.own_load[endpoint] += 1
        try:
            yield
        finally:
            self.own_load[endpoint] -= 1

    async def poll_view(self) -> None:
        """Poll the agent for newer views and adopt them, until cancelled."""
        while True:
            outcome = await self.agent.read_view(
                self.view_holder.run,
                self.view_holder.sequence,
                self.view.tables.version,
            )
            if outcome.is_error():
                log.warning("agent did not answer", error=str(outcome.error))
                await self.clock.sleep(AGENT_RETRY_DELAY)
                continue
            adopted = self.view_holder.adopt(outcome.ok, self.clock.monotonic())
            if adopted.is_error():
                log.error("agent sent a view that can't be used", error=adopted.error)
                await self.clock.sleep(AGENT_RETRY_DELAY)
                continue
            self.view = adopted.ok


@asynccontextmanager
async def open_router(
    settings: RouterSettings,
    clock: Clock,
    rng: random.Random,
    token: str,
    connector: aiohttp.BaseConnector | None = None,
    fresh_connector: aiohttp.BaseConnector | None = None,
) -> AsyncIterator[Router]:
    """
    Create a router and run its background tasks within the context.

    Parameters
    ----------
    settings : RouterSettings
        Settings of the router.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator.
    token : str
        Token shared by the processes of the cluster.
    connector : aiohttp.BaseConnector or None
        Replaces the TCP connector for pooled connections; simulations in virtual
        time pass one.
    fresh_connector : aiohttp.BaseConnector or None
        Replaces the TCP connector that opens a new connection for each request.
    """
    if connector is None:
        ssl = client_context(settings.endpoint_ca_file)
        connector = aiohttp.TCPConnector(limit=0, ssl=ssl)
    if fresh_connector is None:
        ssl = client_context(settings.endpoint_ca_file)
        fresh_connector = aiohttp.TCPConnector(limit=0, force_close=True, ssl=ssl)
    trace = [trace_forwarding()]
    async with (
        open_session(connector=connector, trace_configs=trace) as session,
        open_session(connector=fresh_connector, trace_configs=trace) as fresh,
    ):
        agent = AgentClient(settings.agent_url, session, token)
        engines = EngineClient(session, fresh)
        router = Router(settings, session, engines, agent, clock, rng)
        router.unpooled_session = fresh
        router.idle.set()
        # Without a cluster token, event ids are valid only in this process.
        secret = token or secrets.token_hex()
        router.event_key = derive_key(secret)
        async with running_tasks(router.poll_view()):
            try:
                yield router
            finally:
                await router.close()
                await router.settler.close()
