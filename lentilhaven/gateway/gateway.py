"""The state that a gateway's requests share."""

import asyncio
from collections import Counter
from collections.abc import Callable
from random import Random

import aiohttp
import attrs

from lentilhaven.core.clock import Clock, system_clock
from lentilhaven.core.signal import Signal
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.fleet_view import FleetView
from lentilhaven.gateway.budget import BudgetShare
from lentilhaven.gateway.endpoint_board import EndpointBoard
from lentilhaven.gateway.pipe_meter import PipeMeter
from lentilhaven.peering.member import Member
from lentilhaven.peering.news import PeerNews
from lentilhaven.peering.peer_table import PeerTable
from lentilhaven.platform.settings import PlatformSettings
from lentilhaven.serving.metrics import Metrics
from lentilhaven.upstream.connection_pool import ConnectionPool

#: Seconds without a holder of the lease for placement after which a gateway tries
#: to take it that does not follow the store; the leaders should long have done so.
PLACER_PATIENCE = 6.0


@attrs.define(eq=False)
class Gateway:
    """
    One gateway.

    Attributes
    ----------
    settings : PlatformSettings
        Settings of the process.
    clock : Clock
        Source of time for what outlives a request.
    view : FleetView
        Manifest and endpoints.
    pool : ConnectionPool
        Connections to endpoints.
    board : EndpointBoard
        What was seen of the endpoints.
    session : aiohttp.ClientSession or None
        Connections for orders and reports; None before the duties run.
    metrics : Metrics or None
        Instruments; None if they are not served.
    places : callable
        Returns whether this gateway holds the lease for placement.
    random : random.Random
        Source of chance.
    digest : str
        Of the endpoints that are known.
    checked_at : float
        Time at which the store was last read in full.
    others_checked_at : float
        The same, for the other gateways.
    ahead : dict
        Gateways that know something newer, by VM, each with what it said and
        when it was first found ahead.
    placer_missed_at : float
        Time since which no gateway is known to hold the lease for placement.
    behind : Signal
        Wakes what asks gateways that are ahead.
    budgets : dict
        `BudgetShare` by service.
    peers : PeerTable
        The other gateways.
    pipes : PipeMeter
        What own requests send between data centres.
    urgent : Signal
        Wakes what tells the others.
    leaving : bool
        Whether the process is about to end.
    closed : bool
        Whether new requests are turned away, so that each can be finished that
        has been taken.
    counters : Counter
        Events since the start, by name.
    active : int
        Requests that are being served.
    ended : Signal
        Wakes whoever waits for the end of requests.
    """

    settings: PlatformSettings
    clock: Clock = attrs.field(factory=system_clock)
    view: FleetView = attrs.field()
    pool: ConnectionPool = attrs.field(factory=ConnectionPool)
    board: EndpointBoard = attrs.field(factory=EndpointBoard)
    session: aiohttp.ClientSession | None = None
    metrics: Metrics | None = None
    places: Callable[[], bool] = lambda: False
    random: Random = attrs.field(factory=Random)
    digest: str = ""
    checked_at: float = -1e6
    others_checked_at: float = -1e6
    ahead: dict[str, tuple[PeerNews, float]] = attrs.field(factory=dict)
    placer_missed_at: float = 0.0
    behind: Signal = attrs.field(factory=Signal)
    budgets: dict[str, BudgetShare] = attrs.field(factory=dict)
    peers: PeerTable = attrs.field()
    pipes: PipeMeter = attrs.field(factory=PipeMeter)
    urgent: Signal = attrs.field(factory=Signal)
    leaving: bool = False
    closed: bool = False
    counters: Counter[str] = attrs.field(factory=Counter)
    active: int = 0
    ended: Signal = attrs.field(factory=Signal)

    @view.default
    def empty_view(self) -> FleetView:
        """Return a view that knows nothing yet."""
        return FleetView(monotonic=self.clock.monotonic)

    @peers.default
    def no_peers(self) -> PeerTable:
        """Return a table without other gateways."""
        settings = self.settings
        address = f"{settings.address}:{settings.internal_ports[0]}"
        own = Member(address, settings.data_centre, settings.capacity)
        return PeerTable(own, settings.vm)

    def count_gateways(self, now: float) -> int:
        """Return how many gateways share the budget, 0 if it isn't known."""
        known = self.peers.gateways(now)
        return known if known > 1 else 0

    def is_suspected(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint is thought to be dead."""
        now = asyncio.get_running_loop().time()
        return now < self.board.of(endpoint).suspected_until

    def may_place(self) -> bool:
        """Return whether this gateway should try to take the lease for placement."""
        now = asyncio.get_running_loop().time()
        if not self.ready or self.peers.has_placer(now):
            self.placer_missed_at = now
            return False
        return self.reads_store(now) or now - self.placer_missed_at > PLACER_PATIENCE

    def reads_store(self, now: float) -> bool:
        """
        Return whether this gateway follows the store itself.

        In a large fleet the others learn from the leaders of their data centre.
        """
        peers = self.peers
        return not peers.is_large(now) or peers.directory.leads(now)

    @property
    def ready(self) -> bool:
        """Return whether the balancer should send new connections."""
        return self.view.known and not self.leaving

    def budget_of(self, service: str) -> BudgetShare:
        """Return the retry budget of a service."""
        share = self.budgets.get(service)
        if share is None:
            settings = self.settings
            share = self.budgets[service] = BudgetShare(
                settings.budget_window, settings.budget_ratio, settings.budget_slack
            )
        return share
