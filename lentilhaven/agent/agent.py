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
from lentilhaven.core.client_session import open_session
from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.signal import Signal
from lentilhaven.core.tasks import keep_running, running_tasks
from lentilhaven.distribution.joining import Joiner
from lentilhaven.distribution.state_sync import StateSync
from lentilhaven.distribution.store_watch import StoreWatch
from lentilhaven.distribution.table_holder import TableHolder
from lentilhaven.idempotency import JournalNode, open_journal_host
from lentilhaven.idempotency.journal_peers import JournalPeers
from lentilhaven.load.load_merge import view_endpoints
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

#: Seconds over which load changes are batched into one update of the view.
LOAD_BATCH_DELAY = 0.25

log = get_logger("agent")


@attrs.define
class Agent:
    """
    The control state of one VM.

    Attributes
    ----------
    settings : AgentSettings
        Settings of the agent.
    client : ObjectClient
        Client of the platform's object store.
    clock : Clock
        Clock that supplies times and delays.
    journal : JournalNode
        Journal of claims on non-idempotent calls.
    holder : TableHolder
        The current tables.
    members : Members
        State of the VMs.
    gossip : Gossip
        Exchange of facts with the other agents.
    heartbeats : Heartbeats
        Failure detector for other VMs.
    state_sync : StateSync
        Keeps the tables and the list of VMs up to date.
    poller : LoadPoller
        Polls endpoints for their load.
    feed : ViewFeed
        Computes the view updates for the router.
    sequence : int
        Sequence number of the view; increases with every change.
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
    state_sync: StateSync
    poller: LoadPoller
    feed: ViewFeed
    sequence: int = 0
    changed: Signal = attrs.field(factory=Signal)

    @property
    def ready(self) -> bool:
        """Return whether the agent has tables to serve."""
        return self.state_sync.ready and self.holder.head.version > 0

    @property
    def tables(self) -> Tables:
        """Return the tables to serve; empty until the agent is ready."""
        return self.holder.tables if self.ready else Tables()

    @property
    def view(self) -> View:
        """Return the current view, with the ages of the load reports as of now."""
        live = self.members.live_ids()
        leaving = self.members.own_state is VmState.LEAVING
        endpoints = self.view_endpoints()
        return View(self.sequence, self.tables, endpoints, live, leaving)

    def view_endpoints(self) -> dict[EndpointId, EndpointView]:
        """Return the known state of every endpoint."""
        about = self.gossip.facts_on
        return view_endpoints(
            self.tables,
            about(Topic.LOAD),
            about(Topic.SUMMARY),
            about(Topic.LEAVING),
        )

    def view_update(self, run: int, after: int, version: int) -> ViewUpdate:
        """
        Return the changes since the view that a router holds, and record them as sent.

        Parameters
        ----------
        run, after : int
            Agent's run and sequence number of the view that the router holds.
        version : int
            Version of the tables that the router holds; -1 for none.
        """
        return self.feed.update(self.view, self.holder, run, after, version)

    async def wait_for_view(self, after: int, timeout: float) -> None:
        """
        Wait until the sequence number of the view differs from `after`.

        Parameters
        ----------
        after : int
            Sequence number of the view that the caller holds, which must come from
            the current run; a caller with a view of another run must not wait.
        timeout : float
            Seconds after which to return anyway.
        """
        await self.changed.wait_until(lambda: self.sequence != after, timeout)

    async def publish_table_changes(self) -> None:
        """Publish a view whenever the tables change; runs until cancelled."""
        await self.publish_changes(self.holder.changed, 0.0)

    async def publish_member_changes(self) -> None:
        """Publish a view whenever the state of a VM changes; runs until cancelled."""
        await self.publish_changes(self.members.changed, 0.0)

    async def publish_fact_changes(self) -> None:
        """Publish batched changes of facts, such as load; runs until cancelled."""
        await self.publish_changes(self.gossip.changed, LOAD_BATCH_DELAY)

    async def publish_changes(self, signal: Signal, delay: float) -> None:
        """
        Publish a new view `delay` seconds after each notification.

        Notifications that come during the delay are covered by the same view.
        """
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
        """Announce to the other VMs that this one leaves."""
        self.members.leaving.add(self.members.own)
        self.members.notify_changed()
        self.poller.vm_leaving = True
        self.poller.publish_leaving()


def make_agent(
    settings: AgentSettings,
    client: ObjectClient,
    clock: Clock,
    rng: random.Random,
    peers: PeerClient,
    members: Members,
    journal: JournalNode,
) -> Agent:
    """
    Create an agent and its components.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the agent.
    client : ObjectClient
        Client of the platform's object store.
    clock : Clock
        Clock that supplies times and delays.
    rng : random.Random
        Random number generator.
    peers : PeerClient
        Client of other agents; its session is also used to poll endpoints.
    members : Members
        State of the VMs.
    journal : JournalNode
        Journal of claims on non-idempotent calls.
    """
    holder = TableHolder()
    # Milliseconds since 1970, so that a later run normally has a higher incarnation.
    incarnation = int(clock.wall() * 1000)
    facts = open_fact_tables(clock)
    gossip = Gossip(members, peers, clock, rng, incarnation, facts)
    configuration = client.for_share(Share.CONFIGURATION)
    state_sync = StateSync(holder, members, configuration, peers, clock, rng)
    heartbeats = Heartbeats(gossip, lambda: holder.head.version, state_sync.catch_up)
    poller = LoadPoller(gossip, peers.session, clock, rng)
    return Agent(
        settings,
        client,
        clock,
        journal,
        holder,
        members,
        gossip,
        heartbeats,
        state_sync,
        poller,
        ViewFeed(incarnation),
    )


@asynccontextmanager
async def open_agent(
    settings: AgentSettings,
    client: ObjectClient,
    clock: Clock,
    rng: random.Random | None = None,
    token: str = "",
    connector: aiohttp.BaseConnector | None = None,
) -> AsyncIterator[Agent]:
    """
    Run an agent's tasks until the context ends.

    Parameters
    ----------
    settings : AgentSettings
        Settings of the agent.
    client : ObjectClient
        Client of the platform's object store.
    clock : Clock
        Clock that supplies times and delays.
    rng : random.Random or None
        Random number generator; None uses that of the operating system.
    token : str
        Token that the system's processes share.
    connector : aiohttp.BaseConnector or None
        Replaces the TCP connector, for example in tests with virtual time.
    """
    if connector is None:
        connector = aiohttp.TCPConnector(limit=0)
    generator = rng or random.SystemRandom()
    members = Members(settings.vm, settings.data_centre)
    async with (
        open_session(connector=connector) as session,
        open_journal_host(
            settings.vm,
            client.for_share(Share.JOURNAL),
            clock,
            JournalPeers(session, token, members.live),
        ) as journal,
    ):
        peers = PeerClient(session, token)
        agent = make_agent(settings, client, clock, generator, peers, members, journal)
        watch = StoreWatch(agent.state_sync)
        joiner = Joiner(agent.state_sync, settings.seeds)
        loops = (
            joiner.join,
            watch.watch_tables,
            watch.poll_vm_list,
            agent.state_sync.poll_parent,
            agent.state_sync.poll_random_peers,
            agent.heartbeats.monitor_subjects,
            agent.gossip.pull_facts,
            agent.gossip.push_urgent_facts,
            agent.poller.poll_endpoints,
            agent.poller.publish_loads,
            agent.publish_table_changes,
            agent.publish_member_changes,
            agent.publish_fact_changes,
        )
        async with running_tasks(*map(keep_running, loops)):
            yield agent
