"""The state and the tasks of an agent."""

import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import attrs

from lentilhaven.agent.agent_settings import AgentSettings
from lentilhaven.agent.view_feed import ViewFeed
from lentilhaven.control.view import EndpointView, View
from lentilhaven.control.view_update import ViewUpdate
from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.signal import Signal
from lentilhaven.core.tasks import running_tasks
from lentilhaven.distribution.joining import Joining
from lentilhaven.distribution.spreader import Spreader
from lentilhaven.distribution.store_watch import StoreWatch
from lentilhaven.distribution.table_holder import TableHolder
from lentilhaven.idempotency import JournalNode, open_journal_host
from lentilhaven.idempotency.journal_peers import JournalPeers
from lentilhaven.load.load_digest import view_endpoints
from lentilhaven.load.load_poller import LoadPoller
from lentilhaven.membership.fact_table import Topic
from lentilhaven.membership.gossip import Gossip, open_fact_tables
from lentilhaven.membership.heartbeats import Heartbeats
from lentilhaven.membership.members import Members
from lentilhaven.membership.peer_client import PeerClient
from lentilhaven.objects.object_client import ObjectClient
from lentilhaven.objects.share import Share
from lentilhaven.objects.vm import VmState
from lentilhaven.tables.tables import Tables

#: Seconds over which changes of load are gathered before the router is told.
LOAD_DELAY = 0.25

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
    holder : TableHolder
        The tables.
    members : Members
        The VMs.
    gossip : Gossip
        Facts of all VMs.
    heartbeats : Heartbeats
        Heartbeats to other VMs.
    spreader : Spreader
        Learns tables and the list of VMs.
    poller : LoadPoller
        Polls endpoints.
    feed : ViewFeed
        What the router has been told.
    sequence : int
        Rises with every change of the view.
    changed : Signal
        Notified when the view changes.
    """

    settings: AgentSettings
    client: ObjectClient
    clock: Clock
    journal: JournalNode
    holder: TableHolder
    members: Members
    gossip: Gossip
    heartbeats: Heartbeats
    spreader: Spreader
    poller: LoadPoller
    feed: ViewFeed
    sequence: int = 0
    changed: Signal = attrs.field(factory=Signal)

    @property
    def ready(self) -> bool:
        """Return whether the agent has tables to serve."""
        return self.spreader.ready and self.holder.head.version > 0

    @property
    def tables(self) -> Tables:
        """Return the tables to serve: none before the agent is ready."""
        return self.holder.tables if self.ready else Tables()

    @property
    def view(self) -> View:
        """Return what the router is told, with ages as of now."""
        live = self.members.live_ids()
        leaving = self.members.own_state is VmState.LEAVING
        endpoints = self.view_endpoints()
        return View(self.sequence, self.tables, endpoints, live, leaving)

    def view_endpoints(self) -> dict[EndpointId, EndpointView]:
        """Return what is known of every endpoint."""
        about = self.gossip.about
        return view_endpoints(
            self.tables,
            about(Topic.LOAD),
            about(Topic.SUMMARY),
            about(Topic.LEAVING),
        )

    def view_update(self, run: int, after: int, version: int) -> ViewUpdate:
        """
        Return what a router must be told.

        Parameters
        ----------
        run, after : int
            Run and sequence of the view that the router holds.
        version : int
            Version of the tables that the router holds; -1 for none.
        """
        return self.feed.update(self.view, self.holder, run, after, version)

    async def wait_for_view(self, after: int, timeout: float) -> None:
        """
        Wait until the view is newer than a sequence number.

        Parameters
        ----------
        after : int
            Sequence already seen; another run's number is never waited for.
        timeout : float
            Seconds after which to return anyway.
        """
        await self.changed.wait_until(lambda: self.sequence != after, timeout)

    async def follow_tables(self) -> None:
        """Hand new tables on as soon as they are in force, for ever."""
        await self.follow(self.holder.changed, 0.0)

    async def follow_members(self) -> None:
        """Hand changes of the VMs on, for ever."""
        await self.follow(self.members.changed, 0.0)

    async def follow_facts(self) -> None:
        """Hand changes of load on, some together, for ever."""
        await self.follow(self.gossip.changed, LOAD_DELAY)

    async def follow(self, signal: Signal, delay: float) -> None:
        """Raise the view's sequence after each change, for ever."""
        while True:
            event = signal.event
            await event.wait()
            if delay:
                await self.clock.sleep(delay)
            self.poller.tables = self.tables
            self.poller.vm_leaving = self.members.own_state is VmState.LEAVING
            self.sequence += 1
            self.changed.notify()

    def leave(self) -> None:
        """Tell the other VMs that this one leaves."""
        self.members.leaving.add(self.members.own)
        self.members.touch()
        self.poller.vm_leaving = True
        self.poller.state_leaving()


def make_agent(
    settings: AgentSettings,
    client: ObjectClient,
    clock: Clock,
    source: random.Random,
    peers: PeerClient,
    members: Members,
    journal: JournalNode,
) -> Agent:
    """
    Wire the parts of an agent together.

    Parameters
    ----------
    settings : AgentSettings
        Settings.
    client : ObjectClient
        The platform's store.
    clock : Clock
        Source of time.
    source : random.Random
        Source of chance.
    peers : PeerClient
        Client of other agents; its session also reaches endpoints.
    members : Members
        The VMs.
    journal : JournalNode
        Claims on non-idempotent calls.
    """
    holder = TableHolder()
    incarnation = int(clock.wall() * 1000)
    facts = open_fact_tables(clock)
    gossip = Gossip(members, peers, clock, source, incarnation, facts)
    configuration = client.for_share(Share.CONFIGURATION)
    spreader = Spreader(holder, members, configuration, peers, clock, source)
    heartbeats = Heartbeats(gossip, lambda: holder.head.version, spreader.catch_up)
    poller = LoadPoller(gossip, peers.session, clock, source)
    return Agent(
        settings,
        client,
        clock,
        journal,
        holder,
        members,
        gossip,
        heartbeats,
        spreader,
        poller,
        ViewFeed(incarnation),
    )


@asynccontextmanager
async def open_agent(
    settings: AgentSettings,
    client: ObjectClient,
    clock: Clock,
    source: random.Random | None = None,
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
    source : random.Random or None
        Source of chance; None takes the system's.
    token : str
        The cluster's token.
    connector : aiohttp.BaseConnector or None
        Replaces the TCP connector, for virtual time.
    """
    if connector is None:
        connector = aiohttp.TCPConnector(limit=0)
    chance = source or random.SystemRandom()
    members = Members(settings.vm, settings.data_centre)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        open_journal_host(
            settings.vm,
            client.for_share(Share.JOURNAL),
            clock,
            JournalPeers(session, token, members.live),
        ) as journal,
    ):
        peers = PeerClient(session, token)
        agent = make_agent(settings, client, clock, chance, peers, members, journal)
        watch = StoreWatch(agent.spreader)
        joining = Joining(agent.spreader, settings.seeds)
        async with running_tasks(
            joining.join(),
            watch.watch_tables(),
            watch.follow_list(),
            agent.spreader.follow_parent(),
            agent.spreader.follow_random(),
            agent.heartbeats.monitor_subjects(),
            agent.gossip.pull_facts(),
            agent.gossip.push_news(),
            agent.poller.poll_endpoints(),
            agent.poller.state_loads(),
            agent.follow_tables(),
            agent.follow_members(),
            agent.follow_facts(),
        ):
            yield agent
