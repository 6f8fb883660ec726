"""Polling of endpoints for their load, and publication of the results."""

import random

import aiohttp
import attrs

from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import EndpointId, VmId
from lentilhaven.core.task_set import open_task_set
from lentilhaven.endpoints.load_client import read_load
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.load.endpoint_load import EndpointLoad, encode_load
from lentilhaven.load.load_merge import merge_loads, summarise_pools
from lentilhaven.membership.fact_table import Topic
from lentilhaven.membership.gossip import Gossip
from lentilhaven.membership.rendezvous import choose_owners
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.tables import Tables

#: Mean time between two polls of one endpoint, in seconds.
POLL_INTERVAL = 1.5

#: Interval at which an agent checks whether to reassign endpoints, in seconds.
ASSIGNMENT_INTERVAL = 0.5

#: Number of agents that poll each endpoint.
POLLERS = 2

#: Number of agents in each data centre that publish its summary.
SUMMARISERS = 2

#: Minimum time between two summaries of a data centre by one agent, in seconds.
SUMMARY_INTERVAL = 2.0

#: Bytes per second that each agent may use for the loads of its data centre.
LOAD_BANDWIDTH = 5_000.0

#: Compressed size of one endpoint's load, counted as received once and sent once, in
#: bytes.
BYTES_PER_LOAD = 44.0

#: Number of poll intervals without a published response of an endpoint after which its
#: secondary poller publishes as well.
TAKEOVER_POLLS = 3.0


@attrs.define
class LastResponse:
    """
    The last response of one endpoint.

    Attributes
    ----------
    report : LoadReport or None
        Report in the last response; None if that response had none or if the endpoint
        has never responded.
    reported_at, responded_at : float
        Monotonic times of the last report and of the last response, in seconds.
        Without a report, `reported_at` equals `responded_at`; before any response,
        both are the time of the first missed poll.
    misses : int
        Number of consecutive missed polls.
    """

    report: LoadReport | None
    reported_at: float
    responded_at: float
    misses: int = 0


@attrs.define
class LoadPoller:
    """
    Polls the endpoints assigned to this agent and publishes their loads.

    Attributes
    ----------
    gossip : Gossip
        Distributes facts to other agents.
    session : aiohttp.ClientSession
        HTTP session for polls.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    tables : Tables
        Current tables.
    responses : dict
        `LastResponse` by endpoint.
    specs : dict
        `EndpointSpec` by endpoint, for the endpoints that this agent polls.
    secondary : set of str
        Endpoints that this agent polls as the secondary poller.
    vm_leaving : bool
        Whether this VM is leaving.
    published_leaving : tuple
        Last published value: whether this VM is leaving, and which of the polled
        endpoints are.
    """

    gossip: Gossip
    session: aiohttp.ClientSession
    clock: Clock
    rng: random.Random
    tables: Tables = attrs.field(factory=Tables)
    responses: dict[EndpointId, LastResponse] = attrs.field(factory=dict)
    specs: dict[EndpointId, EndpointSpec] = attrs.field(factory=dict)
    secondary: set[EndpointId] = attrs.field(factory=set)
    vm_leaving: bool = False
    published_leaving: tuple[bool, tuple[EndpointId, ...]] = (False, ())

    def update_assignment(self) -> None:
        """Determine which endpoints this agent polls, and forget all others."""
        members = self.gossip.members
        live_vms = members.live()
        ids_by_data_centre: dict[str, list] = {}
        for vm in live_vms:
            ids_by_data_centre.setdefault(vm.data_centre, []).append(vm.id)
        all_ids = [vm.id for vm in live_vms]
        specs = {}
        secondary = set()
        for pool in self.tables.pools:
            for spec in pool.endpoints:
                # Without a live VM in its data centre, any agent may poll an endpoint.
                candidates = ids_by_data_centre.get(spec.data_centre, all_ids)
                if members.own not in candidates:
                    continue
                owners = choose_owners(f"poll/{spec.id}", candidates, POLLERS)
                if members.own in owners:
                    specs[spec.id] = spec
                if members.own in owners[1:]:
                    secondary.add(spec.id)
        self.specs = specs
        self.secondary = secondary
        for endpoint in [known for known in self.responses if known not in specs]:
            del self.responses[endpoint]

    async def poll_endpoints(self) -> None:
        """Poll the endpoints of this agent until cancelled, one task per endpoint."""
        async with open_task_set(self.poll_endpoint) as tasks:
            version, live = -1, list[VmId]()
            while True:
                current_live = self.gossip.members.live_ids()
                if self.tables.version != version or current_live != live:
                    version, live = self.tables.version, current_live
                    self.update_assignment()
                    tasks.set_keys(self.specs)
                    self.publish_leaving()
                await self.clock.sleep(ASSIGNMENT_INTERVAL)

    async def poll_endpoint(self, endpoint: EndpointId) -> None:
        """
        Poll one endpoint until it is no longer assigned to this agent.

        Parameters
        ----------
        endpoint : str
            Id of the endpoint.
        """
        # A random delay spreads the polls of different endpoints over time.
        await self.clock.sleep(POLL_INTERVAL * self.rng.random() * 0.5)
        # A cancellation that coincides with a timeout can be lost, so each round
        # checks that the endpoint is still assigned.
        while endpoint in self.specs:
            await self.poll_once(self.specs[endpoint])
            self.publish_leaving()
            await self.clock.sleep(POLL_INTERVAL * self.rng.uniform(0.9, 1.1))

    async def poll_once(self, spec: EndpointSpec) -> None:
        """Poll an endpoint once and record its response."""
        outcome = await read_load(self.session, spec)
        now = self.clock.monotonic()
        response = self.responses.get(spec.id)
        if outcome.is_error():
            if response is None:
                response = self.responses.setdefault(
                    spec.id, LastResponse(None, now, now)
                )
            response.misses += 1
        elif outcome.ok is None:
            # The endpoint responded, but has no load reports.
            self.responses[spec.id] = LastResponse(None, now, now)
        else:
            self.responses[spec.id] = LastResponse(outcome.ok, now, now)

    def own_loads(self) -> list[EndpointLoad]:
        """Return the loads that this agent has polled, with their current age."""
        now = self.clock.monotonic()
        return [
            EndpointLoad(
                endpoint,
                response.report,
                now - response.reported_at,
                now - response.responded_at,
                response.misses,
            )
            for endpoint, response in sorted(self.responses.items())
        ]

    def loads_to_publish(self) -> list[EndpointLoad]:
        """
        Return the loads that this agent publishes.

        Two agents poll each endpoint and one of them publishes its load.  The
        secondary poller publishes it as well if no other agent does, or if the last
        response that another agent published is too old.
        """
        own = self.gossip.members.own
        facts = [
            fact for fact in self.gossip.facts_on(Topic.LOAD) if fact.writer != own
        ]
        others = merge_loads(facts)
        max_silence = TAKEOVER_POLLS * POLL_INTERVAL + self.publish_interval
        return [
            load
            for load in self.own_loads()
            if load.endpoint not in self.secondary
            or load.endpoint not in others
            or others[load.endpoint].silence > max_silence
        ]

    def publish_leaving(self) -> None:
        """Publish whether this VM or polled endpoints are leaving, if that changed."""
        leaving = tuple(
            endpoint
            for endpoint, response in sorted(self.responses.items())
            if response.report is not None and response.report.leaving
        )
        if (self.vm_leaving, leaving) == self.published_leaving:
            return
        self.published_leaving = (self.vm_leaving, leaving)
        value = {"vm": self.vm_leaving, "endpoints": list(leaving)}
        self.gossip.publish(Topic.LEAVING, value if any(value.values()) else None)

    async def publish_loads(self) -> None:
        """Publish loads within `LOAD_BANDWIDTH`, and summaries, until cancelled."""
        last_summary = 0.0
        while True:
            loads = [encode_load(load) for load in self.loads_to_publish()]
            self.gossip.publish(Topic.LOAD, loads or None)
            now = self.clock.monotonic()
            if now - last_summary >= SUMMARY_INTERVAL:
                last_summary = now
                self.publish_summary()
            await self.clock.sleep(self.publish_interval)

    @property
    def publish_interval(self) -> float:
        """Return the time between two publications of loads, in seconds."""
        data_centre = self.gossip.members.data_centre
        local_count = sum(
            spec.data_centre == data_centre
            for pool in self.tables.pools
            for spec in pool.endpoints
        )
        return max(POLL_INTERVAL, local_count * BYTES_PER_LOAD / LOAD_BANDWIDTH)

    def publish_summary(self) -> None:
        """
        Publish the summary of the data centre.

        An agent that is not one of its summarisers withdraws its own earlier summary.
        """
        members = self.gossip.members
        data_centre = members.data_centre
        if not members.owns(f"summary/{data_centre}", SUMMARISERS, data_centre):
            self.gossip.publish(Topic.SUMMARY, None)
            return
        facts = self.gossip.facts_on(Topic.LOAD)
        pools = summarise_pools(self.tables, facts, data_centre)
        self.gossip.publish(Topic.SUMMARY, {"data_centre": data_centre, "pools": pools})
