"""Polling of endpoints for their load."""

import random

import aiohttp
import attrs

from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId, VmId
from lentilhaven.core.task_set import open_task_set
from lentilhaven.endpoints.load_client import read_load
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.load.endpoint_load import EndpointLoad, encode_load
from lentilhaven.load.load_digest import merge_loads, summarise_pools
from lentilhaven.membership.fact_table import Topic
from lentilhaven.membership.gossip import Gossip
from lentilhaven.membership.rendezvous import choose_owners
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.tables import Tables

#: Seconds between two polls of one endpoint.
POLL_INTERVAL = 1.5

#: Seconds after which this agent's endpoints are determined again.
ASSIGN_INTERVAL = 0.5

#: Agents that poll each endpoint.
POLLERS = 2

#: Agents of each data centre that write its summary.
SUMMARISERS = 2

#: Seconds between two summaries of a data centre.
SUMMARY_INTERVAL = 2.0

#: Bytes a second that each agent may spend on the loads of its data centre.
LOAD_BUDGET = 5_000.0

#: Bytes of one endpoint's load, compressed, received once and sent once.
LOAD_SIZE = 44.0

#: Polls after which the second poller of an endpoint speaks for the first.
SILENT_POLLS = 3.0


@attrs.define
class HeardLoad:
    """
    The last answer of one endpoint.

    Attributes
    ----------
    report : LoadReport or None
        Its last report.
    reported_at, heard_at : float
        Monotonic times of the last report and of the last answer.
    misses : int
        Polls missed in a row.
    """

    report: LoadReport | None
    reported_at: float
    heard_at: float
    misses: int = 0


@attrs.define
class LoadPoller:
    """
    Polls this agent's endpoints and states what it hears.

    Attributes
    ----------
    gossip : Gossip
        Spreads the reports.
    session : aiohttp.ClientSession
        Connections to endpoints.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    tables : Tables
        The tables in force.
    heard : dict
        `HeardLoad` by endpoint.
    specs : dict
        `EndpointSpec` by endpoint, of those that this agent polls.
    seconds : set of str
        Endpoints of which another agent is the first poller.
    vm_leaving : bool
        Whether this VM leaves.
    stated_leaving : tuple
        What was stated last of this VM and of its endpoints.
    """

    gossip: Gossip
    session: aiohttp.ClientSession
    clock: Clock
    random: random.Random
    tables: Tables = attrs.field(factory=Tables)
    heard: dict[EndpointId, HeardLoad] = attrs.field(factory=dict)
    specs: dict[EndpointId, EndpointSpec] = attrs.field(factory=dict)
    seconds: set[EndpointId] = attrs.field(factory=set)
    vm_leaving: bool = False
    stated_leaving: tuple[bool, tuple[EndpointId, ...]] = (False, ())

    def assign(self) -> None:
        """Determine which endpoints this agent polls."""
        members = self.gossip.members
        everyone = members.live()
        near: dict[str, list] = {}
        for vm in everyone:
            near.setdefault(vm.data_centre, []).append(vm.id)
        anywhere = [vm.id for vm in everyone]
        specs = {}
        seconds = set()
        for pool in self.tables.pools:
            for spec in pool.endpoints:
                candidates = near.get(spec.data_centre, anywhere)
                if members.own not in candidates:
                    continue
                owners = choose_owners(f"poll/{spec.id}", candidates, POLLERS)
                if members.own in owners:
                    specs[spec.id] = spec
                if members.own in owners[1:]:
                    seconds.add(spec.id)
        self.specs = specs
        self.seconds = seconds
        for endpoint in [it for it in self.heard if it not in specs]:
            del self.heard[endpoint]

    async def poll_endpoints(self) -> None:
        """Poll the endpoints of this agent, one task for each, for ever."""
        async with open_task_set(self.poll_endpoint) as tasks:
            version, live = -1, list[VmId]()
            while True:
                now_live = self.gossip.members.live_ids()
                if self.tables.version != version or now_live != live:
                    version, live = self.tables.version, now_live
                    self.assign()
                    tasks.keep(self.specs)
                    self.state_leaving()
                await self.clock.sleep(ASSIGN_INTERVAL)

    async def poll_endpoint(self, endpoint: EndpointId) -> None:
        """
        Poll one endpoint, for ever.

        Parameters
        ----------
        endpoint : str
            The endpoint.
        """
        await self.clock.sleep(POLL_INTERVAL * self.random.random() * 0.5)
        # A cancellation that meets a timeout can be lost, so that the duty is
        # looked up each time.
        while endpoint in self.specs:
            await self.hear(self.specs[endpoint])
            self.state_leaving()
            await self.clock.sleep(POLL_INTERVAL * self.random.uniform(0.9, 1.1))

    async def hear(self, spec: EndpointSpec) -> None:
        """Poll an endpoint once and note its answer."""
        outcome = await read_load(self.session, spec)
        now = self.clock.monotonic()
        held = self.heard.get(spec.id)
        if outcome.is_error():
            if held is None:
                held = self.heard.setdefault(spec.id, HeardLoad(None, now, now))
            held.misses += 1
        elif outcome.ok is None:
            self.heard[spec.id] = HeardLoad(None, now, now)
        else:
            self.heard[spec.id] = HeardLoad(outcome.ok, now, now)

    def own_loads(self) -> list[EndpointLoad]:
        """Return what this agent has heard, at its present age."""
        now = self.clock.monotonic()
        return [
            EndpointLoad(
                endpoint,
                held.report,
                now - held.reported_at,
                now - held.heard_at,
                held.misses,
            )
            for endpoint, held in sorted(self.heard.items())
        ]

    def loads_to_state(self) -> list[EndpointLoad]:
        """
        Return what this agent tells the others.

        Two agents poll each endpoint and one of them speaks; the second speaks
        up where the first has not heard the endpoint for long, or is not heard.
        """
        own = self.gossip.members.own
        facts = [it for it in self.gossip.about(Topic.LOAD) if it.writer != own]
        others = merge_loads(facts)
        late = SILENT_POLLS * POLL_INTERVAL + self.load_interval
        return [
            load
            for load in self.own_loads()
            if load.endpoint not in self.seconds
            or load.endpoint not in others
            or others[load.endpoint].heard > late
        ]

    def state_leaving(self) -> None:
        """State which endpoints leave by their own account, when that changes."""
        leaving = tuple(
            endpoint
            for endpoint, held in sorted(self.heard.items())
            if held.report is not None and held.report.leaving
        )
        if (self.vm_leaving, leaving) == self.stated_leaving:
            return
        self.stated_leaving = (self.vm_leaving, leaving)
        value = {"vm": self.vm_leaving, "endpoints": list(leaving)}
        self.gossip.state(Topic.LEAVING, value if any(value.values()) else None)

    async def state_loads(self) -> None:
        """State what this agent hears, within the budget of bytes, for ever."""
        stated = 0.0
        while True:
            loads = [encode_load(load) for load in self.loads_to_state()]
            self.gossip.state(Topic.LOAD, loads or None)
            now = self.clock.monotonic()
            if now - stated >= SUMMARY_INTERVAL:
                stated = now
                self.state_summary()
            await self.clock.sleep(self.load_interval)

    @property
    def load_interval(self) -> float:
        """Return the seconds between two statements of loads."""
        place = self.gossip.members.data_centre
        near = sum(
            spec.data_centre == place
            for pool in self.tables.pools
            for spec in pool.endpoints
        )
        return max(POLL_INTERVAL, near * LOAD_SIZE / LOAD_BUDGET)

    def state_summary(self) -> None:
        """State the summary of the data centre if that is this agent's duty."""
        members = self.gossip.members
        place = members.data_centre
        if not members.owns(f"summary/{place}", SUMMARISERS, place):
            self.gossip.state(Topic.SUMMARY, None)
            return
        facts = self.gossip.about(Topic.LOAD)
        pools = summarise_pools(self.tables, facts, place)
        self.gossip.state(Topic.SUMMARY, {"data_centre": place, "pools": pools})
