"""Gossip protocol that exchanges facts between agents."""

import asyncio
import random
from typing import Any

import attrs

from lentilhaven.core.clock import Clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import VmId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.signal import Signal
from lentilhaven.membership.fact import Fact
from lentilhaven.membership.fact_table import SCOPES, FactTable, Scope, Topic
from lentilhaven.membership.fact_values import is_usable
from lentilhaven.membership.members import Members
from lentilhaven.membership.messages import FactAnswer, FactRequest
from lentilhaven.membership.peer_client import PeerClient
from lentilhaven.objects.vm import ListedVm

#: Mean interval between pulls of facts, in seconds.
GOSSIP_INTERVAL = 1.0

#: One pull in this many is from a VM of any data centre; the others are from a VM of
#: the same data centre.
REMOTE_PULL_PERIOD = 3

#: Number of VMs to which each VM pushes an urgent fact that is new to it.
PUSH_FANOUT = 4

#: Minimum interval between pushes by one VM, in seconds.
PUSH_INTERVAL = 0.2

#: Timeout of a push or a pull, in seconds.
GOSSIP_TIMEOUT = 0.5

#: Seconds without a summary after which a data centre counts as unreachable.
UNREACHABLE_AFTER = 10.0

#: Seconds after which a VM publishes an urgent fact again.
REFRESH_AFTER = 10.0

#: Maximum number of facts that are remembered as ignored.
MAX_IGNORED = 256

log = get_logger("membership")


@attrs.define
class Gossip:
    """
    Holds the facts known to this VM and exchanges them with other VMs.

    Attributes
    ----------
    members : Members
        State of the VMs; updated with suspicions and announcements of leaving.
    peers : PeerClient
        Client of other agents.
    clock : Clock
        Clock that supplies times and delays.
    rng : random.Random
        Random number generator.
    incarnation : int
        Number of this VM's current run; raised when another VM sends back a newer fact
        that an earlier run published.
    tables : dict
        `FactTable` by scope.
    changed : Signal
        Notified when a fact that is received or published has a changed value.
    unsent_facts : dict
        Urgent facts to push, by key.
    push_needed : Signal
        Notified when there are facts to push.
    push_tasks : set
        Tasks of the pushes in progress.
    ignored : set of str
        Keys of facts that could not be used.
    """

    members: Members
    peers: PeerClient
    clock: Clock
    rng: random.Random
    incarnation: int
    tables: dict[Scope, FactTable]
    changed: Signal = attrs.field(factory=Signal)
    unsent_facts: dict[str, Fact] = attrs.field(factory=dict)
    push_needed: Signal = attrs.field(factory=Signal)
    push_tasks: set[asyncio.Task] = attrs.field(factory=set)
    ignored: set[str] = attrs.field(factory=set)

    def publish(self, topic: Topic, value: Any) -> None:
        """
        Publish a fact about this VM or its observations.

        Parameters
        ----------
        topic : Topic
            Topic of the fact.
        value : Any
            JSON value; None withdraws the fact.
        """
        table = self.tables[SCOPES[topic]]
        fact = table.update_own(topic, self.members.own, self.incarnation, value)
        if fact is not None:
            self.process_updates([fact])

    def facts_on(self, topic: Topic) -> list[Fact]:
        """
        Return the facts on a topic that are not withdrawn.

        Parameters
        ----------
        topic : Topic
            Topic of the facts.
        """
        return self.tables[SCOPES[topic]].facts_on(topic)

    def receive(self, facts: list[Fact], transport: float = 0.0) -> None:
        """
        Merge facts received from another VM, except those that can't be used.

        Parameters
        ----------
        facts : list of Fact
            Facts received.
        transport : float
            Upper bound of their transport time in seconds.
        """
        newer = []
        for fact in facts:
            if not is_usable(fact):
                self.note_ignored(fact)
                continue
            if fact.writer == self.members.own:
                self.advance_incarnation(fact)
                continue
            self.members.record_incarnation(fact.writer, fact.incarnation)
            table = self.tables[SCOPES[Topic(fact.topic)]]
            newer += table.merge([fact], transport)
        if newer:
            self.process_updates(newer)

    def note_ignored(self, fact: Fact) -> None:
        """Log that the facts of a writer on a topic can't be used, once."""
        if fact.key in self.ignored:
            return
        if len(self.ignored) >= MAX_IGNORED:
            self.ignored.clear()
        self.ignored.add(fact.key)
        log.warning("fact ignored", topic=fact.topic, writer=fact.writer)

    def advance_incarnation(self, fact: Fact) -> None:
        """
        Switch to a newer incarnation if an earlier run used this or a newer one.

        Otherwise other VMs would keep the fact of the earlier run and ignore the
        facts of this run.

        Parameters
        ----------
        fact : Fact
            A fact of this VM, received from another one.
        """
        table = self.tables[SCOPES[Topic(fact.topic)]]
        held = table.facts.get(fact.key)
        if fact.incarnation < self.incarnation:
            return
        if held is not None and held.stamp >= fact.stamp:
            return
        self.incarnation = fact.incarnation + 1
        log.info(
            "earlier run used this or a newer incarnation; switching to the next one"
        )
        own = [it for table in self.tables.values() for it in table.facts.values()]
        for known in [it for it in own if it.writer == self.members.own]:
            self.publish(Topic(known.topic), known.value)

    def process_updates(self, newer: list[Fact]) -> None:
        """Apply changed facts to the members and schedule pushes of urgent ones."""
        urgent = [it for it in newer if SCOPES[Topic(it.topic)] is Scope.URGENT]
        if urgent:
            self.update_members()
            self.unsent_facts |= {fact.key: fact for fact in urgent}
            self.push_needed.notify()
        self.changed.notify()

    def update_members(self) -> None:
        """Update the suspicions and the set of leaving VMs from the facts."""
        votes: dict[VmId, dict[VmId, int]] = {}
        for fact in self.facts_on(Topic.SUSPECTS):
            for subject, incarnation in fact.value.items():
                votes.setdefault(subject, {})[fact.writer] = incarnation
        leaving = {it.writer for it in self.facts_on(Topic.LEAVING) if it.value["vm"]}
        if votes != self.members.votes or leaving != self.members.leaving:
            self.members.votes = votes
            self.members.leaving = leaving
            self.members.notify_changed()

    async def push_urgent_facts(self) -> None:
        """
        Push urgent facts to random VMs, which push them on; runs until cancelled.

        Facts that arrive soon after a push wait for the next one, so that the
        loss of a whole data centre does not flood the others.
        """
        while True:
            push_event = self.push_needed.event
            if not self.unsent_facts:
                await push_event.wait()
            facts = list(self.unsent_facts.values())
            self.unsent_facts.clear()
            self.push(facts)
            await self.clock.sleep(PUSH_INTERVAL)

    def push(self, facts: list[Fact]) -> None:
        """Start to send facts to `PUSH_FANOUT` random live VMs."""
        peers = self.members.peers()
        for peer in self.rng.sample(peers, min(PUSH_FANOUT, len(peers))):
            task = asyncio.create_task(self.exchange(peer, FactRequest(facts=facts)))
            self.push_tasks.add(task)
            task.add_done_callback(self.push_tasks.discard)

    async def exchange(self, peer: ListedVm, request: FactRequest) -> Failure | None:
        """
        Send a request and merge the facts in the response.

        Parameters
        ----------
        peer : ListedVm
            VM to send the request to.
        request : FactRequest
            Request to send.

        Returns
        -------
        Failure or None
            None if the peer responded.
        """
        started_at = self.clock.monotonic()
        url = f"{peer.address}/peer/facts"
        answer = await self.peers.post(url, request, FactAnswer, GOSSIP_TIMEOUT)
        if answer.is_error():
            return answer.error
        self.receive(answer.ok.facts, self.clock.monotonic() - started_at)
        return None

    def handle_request(self, request: FactRequest) -> FactAnswer:
        """
        Merge the facts pushed and return the facts requested.

        Parameters
        ----------
        request : FactRequest
            Request of another VM.
        """
        self.receive(request.facts)
        found = []
        for scope, vector in request.vectors.items():
            found += self.tables[Scope(scope)].newer_than(vector)
        return FactAnswer(found)

    def make_request(self, *scopes: Scope) -> FactRequest:
        """Return a request for all newer facts in some scopes."""
        return FactRequest({it.value: self.tables[it].version_vector for it in scopes})

    async def pull_facts(self) -> None:
        """Pull newer facts from random VMs; runs until cancelled."""
        pull_count = 0
        while True:
            await self.clock.sleep(GOSSIP_INTERVAL * self.rng.uniform(0.9, 1.1))
            pull_count += 1
            local_peers = self.members.peers(self.members.data_centre)
            if local_peers and pull_count % REMOTE_PULL_PERIOD:
                peer = self.rng.choice(local_peers)
                request = self.make_request(Scope.URGENT, Scope.LOAD, Scope.SUMMARY)
                await self.exchange(peer, request)
            elif candidates := self.members.listed_peers():
                request = self.make_request(Scope.URGENT, Scope.SUMMARY)
                await self.exchange(self.rng.choice(candidates), request)
            self.run_maintenance()

    def run_maintenance(self) -> None:
        """
        Drop expired facts, and publish this VM's urgent facts again if they are old.

        Then update the state of the VMs and the set of unreachable data centres.
        """
        for table in self.tables.values():
            table.drop_expired()
        self.refresh_urgent_facts()
        self.update_members()
        ages: dict[str, float] = {}
        for fact in self.facts_on(Topic.SUMMARY):
            data_centre = fact.value["data_centre"]
            ages[data_centre] = min(ages.get(data_centre, fact.age), fact.age)
        self.update_reachability(
            {it for it, age in ages.items() if age < UNREACHABLE_AFTER}
        )

    def refresh_urgent_facts(self) -> None:
        """Publish this VM's urgent facts again before other VMs drop them."""
        for topic, scope in SCOPES.items():
            for fact in self.facts_on(topic) if scope is Scope.URGENT else []:
                if fact.writer == self.members.own and fact.age > REFRESH_AFTER:
                    self.publish(topic, fact.value)

    def update_reachability(self, reachable: set[str]) -> None:
        """Mark the data centres seen before, but not in `reachable`, as unreachable."""
        members = self.members
        remote = {vm.data_centre for vm in members.vm_list.vms} - {members.data_centre}
        members.seen_data_centres |= {it for it in remote if it in reachable}
        unreachable_now = {
            it for it in members.seen_data_centres if it not in reachable
        }
        if unreachable_now != members.unreachable:
            members.unreachable = unreachable_now
            members.notify_changed()


def open_fact_tables(clock: Clock) -> dict[Scope, FactTable]:
    """Return an empty fact table for each scope."""
    return {scope: FactTable(clock) for scope in Scope}
