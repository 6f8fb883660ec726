"""The state that a gateway's requests share."""

import asyncio
from collections import Counter
from collections.abc import Callable, Collection
from random import Random

import aiohttp
import attrs

from lentilhaven.admission import OrderRules, ServiceQueues
from lentilhaven.callers.connection_share import ConnectionShare, make_share
from lentilhaven.chains.pipe_meter import PipeMeter
from lentilhaven.core.clock import Clock, system_clock
from lentilhaven.core.signal import Signal
from lentilhaven.crashes.ledger import CrashLedger
from lentilhaven.crashes.run_log import RunLog
from lentilhaven.draining.stop_schedule import StopSchedule
from lentilhaven.draining.time_limits import TimeLimits
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.gateway.body_memory import BodyMemory
from lentilhaven.gateway.endpoint_signals import note_signals
from lentilhaven.gateway.endpoint_states import EndpointStates
from lentilhaven.locality import DemandForecast
from lentilhaven.peering.local_demand import local_demand
from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import PeerMessage
from lentilhaven.peering.peer_table import PeerTable
from lentilhaven.peering.queue_state import QueueState
from lentilhaven.peering.subject import Incarnation
from lentilhaven.platform.response_head import ResponseHead
from lentilhaven.platform.settings import PlatformSettings
from lentilhaven.rate_limits import ServiceDemand
from lentilhaven.retries.retry_budget_share import RetryBudgetShare
from lentilhaven.serving.metrics import Metrics
from lentilhaven.serving.queue_metrics import QueueMetrics
from lentilhaven.upstream.answer_memory import AnswerMemory, answer_memory_limit
from lentilhaven.upstream.connection_pool import ConnectionPool

#: Seconds without a holder of the placement lease after which a gateway that does
#: not follow the store tries to take it; by then a leader should have taken it.
PLACER_TIMEOUT = 6.0


@attrs.define(eq=False)
class Gateway:
    """
    State of one gateway process.

    Attributes
    ----------
    settings : PlatformSettings
        Settings of the process.
    clock : Clock
        Clock for state that outlives a request.
    view : FleetView
        Known manifest and endpoints.
    pool : ConnectionPool
        Connections to endpoints.
    body_memory : BodyMemory
        Bytes of the bodies of callers' requests.
    connections : ConnectionShare
        Limits that all connections from outside share.
    endpoint_states : EndpointStates
        Observed state of the endpoints.
    session : aiohttp.ClientSession or None
        Connections for orders to engines and for their reports; None until the
        background tasks run.
    metrics : Metrics or None
        Instruments; None if metrics are not served.
    queue_metrics : QueueMetrics or None
        Those of requests that wait; None if metrics are not served.
    holds_placement_lease : callable
        Returns whether this gateway holds the placement lease, whose holder assigns
        layers to engines.
    random : random.Random
        Random number generator.
    digest : str
        Digest of the known endpoints.
    store_read_at : float
        Event loop time at which this gateway last read the whole store, in seconds.
    peers_store_read_at : float
        Latest event loop time at which another gateway read the whole store.
    gateways_ahead : dict
        Gateways that have a newer manifest or newer endpoints, by VM, each with
        the message that showed this first and the event loop time of its arrival.
    placer_missing_since : float
        Event loop time since which no other gateway is known to hold the placement
        lease, in seconds.
    behind_signal : Signal
        Wakes the task that queries the gateways in `gateways_ahead`.
    budgets : dict
        `RetryBudgetShare` by service.
    demands : dict
        `ServiceDemand` by service.
    queues : ServiceQueues
        Requests that wait for capacity.
    forecast : DemandForecast
        Expected demand of this data centre.
    peers : PeerTable
        The other gateways.
    link_traffic : PipeMeter
        Traffic of this gateway's requests between data centres.
    crash_ledger : CrashLedger
        Requests and parts of prompts under which endpoints have ended.
    run_log : RunLog
        The runs of this gateway's requests, by endpoint.
    end_checks : dict
        Checks in progress whether endpoints have ended, by incarnation.
    link_checks : set of asyncio.Future
        Checks of links to endpoints that are in progress.
    tunnels : set
        Connections of other gateways to endpoints through this one.
    retire_tunnels : callable
        Tells the other gateways to send no further requests on these connections.
    queue_states : callable
        Returns what waits here and was started here, by service.
    unread : callable
        Returns the layer-tokens of prompts that this gateway has sent and that are not
        yet read, by endpoint.
    urgent_signal : Signal
        Wakes the task that sends messages to the other gateways.
    pace_questions : dict
        Engines to ask for their pace, by incarnation.
    pace_signal : Signal
        Wakes the task that asks them.
    leaving : bool
        Whether the process is shutting down.
    stop : StopSchedule or None
        The times of the shutdown; None before it.
    intake_limits : TimeLimits
        Limits the reading of requests' bodies.
    work_limits : TimeLimits
        Limits the work on requests.
    refuses_requests : bool
        Whether new requests are refused, so that every accepted one can finish
        before the process ends.
    counters : Counter
        Events since the start, by name.
    active : int
        Number of requests in progress.
    request_finished : Signal
        Wakes the tasks that wait for requests to finish.
    """

    settings: PlatformSettings
    clock: Clock = attrs.field(factory=system_clock)
    view: FleetView = attrs.field()
    pool: ConnectionPool = attrs.field()
    body_memory: BodyMemory = attrs.field()
    counters: Counter[str] = attrs.field(factory=Counter)
    connections: ConnectionShare = attrs.field()
    endpoint_states: EndpointStates = attrs.field(factory=EndpointStates)
    session: aiohttp.ClientSession | None = None
    metrics: Metrics | None = None
    queue_metrics: QueueMetrics | None = None
    holds_placement_lease: Callable[[], bool] = lambda: False
    random: Random = attrs.field(factory=Random)
    digest: str = ""
    store_read_at: float = -1e6
    peers_store_read_at: float = -1e6
    gateways_ahead: dict[str, tuple[PeerMessage, float]] = attrs.field(factory=dict)
    placer_missing_since: float = 0.0
    behind_signal: Signal = attrs.field(factory=Signal)
    budgets: dict[str, RetryBudgetShare] = attrs.field(factory=dict)
    demands: dict[str, ServiceDemand] = attrs.field(factory=dict)
    queues: ServiceQueues = attrs.field()
    forecast: DemandForecast = attrs.field(factory=DemandForecast)
    peers: PeerTable = attrs.field()
    link_traffic: PipeMeter = attrs.field(factory=PipeMeter)
    crash_ledger: CrashLedger = attrs.field()
    run_log: RunLog = attrs.field(factory=RunLog)
    end_checks: dict[Incarnation, asyncio.Future[None]] = attrs.field(factory=dict)
    link_checks: set[asyncio.Future[None]] = attrs.field(factory=set)
    tunnels: Collection[object] = ()
    retire_tunnels: Callable[[], None] = lambda: None
    queue_states: Callable[[], dict[str, QueueState]] = attrs.field()
    unread: Callable[[], dict[str, float]] = attrs.field()
    urgent_signal: Signal = attrs.field(factory=Signal)
    pace_questions: dict[tuple[str, int], Endpoint] = attrs.field(factory=dict)
    pace_signal: Signal = attrs.field(factory=Signal)
    leaving: bool = False
    stop: StopSchedule | None = None
    intake_limits: TimeLimits = attrs.field(factory=TimeLimits)
    work_limits: TimeLimits = attrs.field(factory=TimeLimits)
    refuses_requests: bool = False
    active: int = 0
    request_finished: Signal = attrs.field(factory=Signal)

    def __attrs_post_init__(self) -> None:
        """Connect the parts of the state that act on each other."""
        self.pool.on_head = self.note_head
        self.queues.counters = self.counters
        self.queues.record_wait = self.record_wait
        self.queues.reports = self.peers.queue_reports

    def note_head(self, endpoint: Endpoint, head: ResponseHead) -> None:
        """Apply what the head of an answer says about its endpoint."""
        note_signals(
            self.view, self.endpoint_states, self.urgent_signal, endpoint, head
        )

    @view.default
    def empty_view(self) -> FleetView:
        """Return a view without a manifest or endpoints."""
        return FleetView(monotonic=self.clock.monotonic)

    @pool.default
    def empty_pool(self) -> ConnectionPool:
        """Return a pool without connections."""
        limit = answer_memory_limit(self.settings.memory)
        return ConnectionPool(memory=AnswerMemory(limit))

    @body_memory.default
    def empty_body_memory(self) -> BodyMemory:
        """Return a memory without bodies."""
        return BodyMemory(answer_memory_limit(self.settings.memory))

    @queues.default
    def empty_queues(self) -> ServiceQueues:
        """Return queues without requests."""
        return ServiceQueues(next_change=self.next_return, ages=self.report_ages)

    def record_wait(self, priority: int, seconds: float) -> None:
        """Record for how long a request has waited before its start."""
        if self.queue_metrics is not None:
            self.queue_metrics.record_wait(priority, seconds)

    @queue_states.default
    def report_queues(self) -> Callable[[], dict[str, QueueState]]:
        """Return what tells the others of the queues."""
        return lambda: self.queues.states(asyncio.get_running_loop().time())

    @unread.default
    def report_unread(self) -> Callable[[], dict[str, float]]:
        """Return what tells the others of unread prompts."""
        return lambda: self.queues.unread_tokens()

    def next_return(self, service: str, now: float) -> float | None:
        """Return when an endpoint that is unavailable or at its limit may be used."""
        states = [self.endpoint_states.of(it) for it in self.view.of_service(service)]
        return min((it for s in states for it in s.next_changes(now)), default=None)

    def report_ages(self, now: float) -> dict[str, int]:
        """Return the ages of the latest and of the oldest datagram, in ms."""
        ages = [round((now - it.received_at) * 1e3) for it in self.peers.peers.values()]
        return {"peers_age_ms": min(ages), "oldest_ms": max(ages)} if ages else {}

    @property
    def rules(self) -> OrderRules:
        """Return which requests the current manifest orders."""
        return self.queues.rules_of(self.view.manifest)

    @connections.default
    def empty_connections(self) -> ConnectionShare:
        """Return a share without connections, which counts in the same counters."""
        settings = self.settings
        return make_share(settings.memory, settings.open_files, self.counters)

    @peers.default
    def empty_peer_table(self) -> PeerTable:
        """Return a table without other gateways."""
        settings = self.settings
        address = f"{settings.address}:{settings.internal_ports[0]}"
        own = Member(address, settings.data_centre, settings.capacity)
        return PeerTable(own, settings.vm)

    @crash_ledger.default
    def empty_crash_ledger(self) -> CrashLedger:
        """Return a ledger without evidence."""
        return CrashLedger()

    def count_gateways(self, now: float) -> int:
        """
        Return how many gateways share the retry budget.

        The number counts as unknown, and is 0, if no other gateway is known.
        """
        known = self.peers.count_gateways(now)
        return known if known > 1 else 0

    def accepts_new_work(self, endpoint: Endpoint) -> bool:
        """
        Return whether an endpoint may be sent anything new by this gateway.

        It may not once its incarnation is known to be leaving, and not while it has
        asked for a pause.
        """
        is_leaving = endpoint.incarnation in self.view.leaving
        return not is_leaving and not self.is_paused(endpoint)

    def is_paused(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has asked this gateway for no requests now."""
        now = asyncio.get_running_loop().time()
        return now < self.endpoint_states.of(endpoint).paused_until

    def is_suspected(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is suspected to have failed."""
        now = asyncio.get_running_loop().time()
        return now < self.endpoint_states.of(endpoint).suspected_until

    def is_lost(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has been suspected for too long to be sound."""
        now = asyncio.get_running_loop().time()
        return self.endpoint_states.of(endpoint).is_lost(now)

    def wants_placement_lease(self) -> bool:
        """
        Return whether this gateway should try to take the placement lease.

        Also updates `placer_missing_since`.
        """
        now = asyncio.get_running_loop().time()
        if not self.ready or self.peers.has_placer(now):
            self.placer_missing_since = now
            return False
        return self.reads_store(now) or now - self.placer_missing_since > PLACER_TIMEOUT

    def reads_store(self, now: float) -> bool:
        """
        Return whether this gateway follows the store itself.

        In a large fleet only the leaders of each data centre do; the other gateways
        receive updates from them.
        """
        peers = self.peers
        return not peers.is_large_fleet(now) or peers.directory.is_leader(now)

    def own_demand(self, now: float) -> dict[str, float]:
        """Return how often this gateway tries to send requests, by service."""
        return {name: demand.rate(now) for name, demand in self.demands.items()}

    def observe_demand(self, now: float) -> None:
        """Add a sample of this data centre's demand to the forecast if one is due."""
        if self.forecast.is_due(now):
            rates = local_demand(self.peers, self.own_demand(now), now)
            self.forecast.observe(now, rates)

    @property
    def ready(self) -> bool:
        """Return whether the load balancer should send new connections."""
        return self.view.is_complete and not self.leaving

    def budget_of(self, service: str) -> RetryBudgetShare:
        """Return this gateway's retry budget of a service, and create it if needed."""
        budget = self.budgets.get(service)
        if budget is None:
            settings = self.settings
            budget = self.budgets[service] = RetryBudgetShare(
                settings.budget_window, settings.budget_ratio, settings.budget_slack
            )
        return budget
