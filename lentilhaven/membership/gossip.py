"""Exchange of facts between agents."""

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
from lentilhaven.membership.members import Members
from lentilhaven.membership.messages import FactAnswer, FactRequest
from lentilhaven.membership.peer_client import PeerClient
from lentilhaven.objects.vm import ListedVm

#: Seconds between two pulls of facts.
GOSSIP_INTERVAL = 1.0

#: Each how many pulls one goes to any data centre.
FAR_PERIOD = 3

#: VMs to which an urgent fact is pushed by each VM that learns of it.
FAN_OUT = 4

#: Seconds between two pushes of one VM.
PUSH_INTERVAL = 0.2

#: Seconds after which a push or a pull is given up.
GOSSIP_TIMEOUT = 0.5

#: Seconds after which a data centre that told nothing is unreachable.
UNREACHABLE_AFTER = 10.0

#: Seconds after which a VM states an urgent fact again.
RESTATE_AFTER = 10.0

log = get_logger("membership")


@attrs.define
class Gossip:
    """
    The facts that this VM holds, and how they spread.

    Attributes
    ----------
    members : Members
        The VMs; suspicions and leaves are entered here.
    peers : PeerClient
        Client of other agents.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    incarnation : int
        Incarnation of this VM.
    tables : dict
        `FactTable` by scope.
    changed : Signal
        Notified when a fact arrives or is stated.
    unsent : dict
        Urgent news to push, by key.
    news : Signal
        Notified when there is something to push.
    pushes : set
        Pushes under way.
    """

    members: Members
    peers: PeerClient
    clock: Clock
    random: random.Random
    incarnation: int
    tables: dict[Scope, FactTable]
    changed: Signal = attrs.field(factory=Signal)
    unsent: dict[str, Fact] = attrs.field(factory=dict)
    news: Signal = attrs.field(factory=Signal)
    pushes: set[asyncio.Task] = attrs.field(factory=set)

    def state(self, topic: Topic, value: Any) -> None:
        """
        State something about this VM or what it sees.

        Parameters
        ----------
        topic : Topic
            What it is about.
        value : Any
            JSON value; None withdraws the statement.
        """
        table = self.tables[SCOPES[topic]]
        fact = table.state(topic, self.members.own, self.incarnation, value)
        if fact is not None:
            self.react([fact])

    def about(self, topic: Topic) -> list[Fact]:
        """
        Return the facts in force on a topic.

        Parameters
        ----------
        topic : Topic
            The topic.
        """
        return self.tables[SCOPES[topic]].about(topic)

    def take(self, facts: list[Fact], transport: float = 0.0) -> None:
        """
        Merge facts of another VM.

        Parameters
        ----------
        facts : list of Fact
            What has arrived.
        transport : float
            Most seconds that they were under way.
        """
        newer = []
        for fact in facts:
            if fact.writer == self.members.own:
                self.outgrow(fact)
                continue
            self.members.note_incarnation(fact.writer, fact.incarnation)
            table = self.tables[SCOPES[Topic(fact.topic)]]
            newer += table.merge([fact], transport)
        if newer:
            self.react(newer)

    def outgrow(self, fact: Fact) -> None:
        """Become a newer incarnation than a statement of an earlier run."""
        table = self.tables[SCOPES[Topic(fact.topic)]]
        held = table.facts.get(fact.key)
        if fact.incarnation < self.incarnation:
            return
        if held is not None and held.stamp >= fact.stamp:
            return
        self.incarnation = fact.incarnation + 1
        log.info("an earlier run had a newer incarnation; taking the next one")
        own = [it for table in self.tables.values() for it in table.facts.values()]
        for known in [it for it in own if it.writer == self.members.own]:
            self.state(Topic(known.topic), known.value)

    def react(self, newer: list[Fact]) -> None:
        """Enter newer facts into the members and have the urgent ones pushed on."""
        urgent = [it for it in newer if SCOPES[Topic(it.topic)] is Scope.URGENT]
        if urgent:
            self.enter_urgent()
            self.unsent |= {fact.key: fact for fact in urgent}
            self.news.notify()
        self.changed.notify()

    def enter_urgent(self) -> None:
        """Bring suspicions and leaves up to date."""
        votes: dict[VmId, dict[VmId, int]] = {}
        for fact in self.about(Topic.SUSPECTS):
            for subject, incarnation in fact.value.items():
                votes.setdefault(subject, {})[fact.writer] = incarnation
        leaving = {it.writer for it in self.about(Topic.LEAVING) if it.value["vm"]}
        if votes != self.members.votes or leaving != self.members.leaving:
            self.members.votes = votes
            self.members.leaving = leaving
            self.members.touch()

    async def push_news(self) -> None:
        """
        Send urgent news to some random VMs, which do the same, for ever.

        News that arrive soon after a push wait for the next one, so that the
        loss of a whole data centre does not flood the others.
        """
        while True:
            arrival = self.news.event
            if not self.unsent:
                await arrival.wait()
            facts = list(self.unsent.values())
            self.unsent.clear()
            self.push(facts)
            await self.clock.sleep(PUSH_INTERVAL)

    def push(self, facts: list[Fact]) -> None:
        """Send facts to some random VMs."""
        peers = self.members.peers()
        for peer in self.random.sample(peers, min(FAN_OUT, len(peers))):
            task = asyncio.create_task(self.ask(peer, FactRequest(facts=facts)))
            self.pushes.add(task)
            task.add_done_callback(self.pushes.discard)

    async def ask(self, peer: ListedVm, request: FactRequest) -> Failure | None:
        """
        Send a request and merge what is answered.

        Parameters
        ----------
        peer : ListedVm
            Whom to ask.
        request : FactRequest
            What to send.
        """
        began = self.clock.monotonic()
        url = f"{peer.address}/peer/facts"
        answer = await self.peers.post(url, request, FactAnswer, GOSSIP_TIMEOUT)
        if answer.is_error():
            return answer.error
        self.take(answer.ok.facts, self.clock.monotonic() - began)
        return None

    def answer(self, request: FactRequest) -> FactAnswer:
        """
        Merge what was pushed and return what was asked for.

        Parameters
        ----------
        request : FactRequest
            From another VM.
        """
        self.take(request.facts)
        found = []
        for scope, vector in request.vectors.items():
            found += self.tables[Scope(scope)].newer_than(vector)
        return FactAnswer(found)

    def request(self, *scopes: Scope) -> FactRequest:
        """Return a question for everything newer in some scopes."""
        return FactRequest({it.value: self.tables[it].vector for it in scopes})

    async def pull_facts(self) -> None:
        """Pull newer facts from random VMs, for ever."""
        turn = 0
        while True:
            await self.clock.sleep(GOSSIP_INTERVAL * self.random.uniform(0.9, 1.1))
            turn += 1
            near = self.members.peers(self.members.data_centre)
            if near and turn % FAR_PERIOD:
                peer = self.random.choice(near)
                request = self.request(Scope.URGENT, Scope.LOAD, Scope.SUMMARY)
                await self.ask(peer, request)
            elif everyone := self.members.others():
                request = self.request(Scope.URGENT, Scope.SUMMARY)
                await self.ask(self.random.choice(everyone), request)
            self.review()

    def review(self) -> None:
        """Forget old facts and see which data centres are unreachable."""
        for table in self.tables.values():
            table.forget_old()
        self.restate_urgent()
        self.enter_urgent()
        ages: dict[str, float] = {}
        for fact in self.about(Topic.SUMMARY):
            place = fact.value["data_centre"]
            ages[place] = min(ages.get(place, fact.age), fact.age)
        self.enter_reachable(
            {it for it, age in ages.items() if age < UNREACHABLE_AFTER}
        )

    def restate_urgent(self) -> None:
        """State this VM's urgent facts again before the others forget them."""
        for topic, scope in SCOPES.items():
            for fact in self.about(topic) if scope is Scope.URGENT else []:
                if fact.writer == self.members.own and fact.age > RESTATE_AFTER:
                    self.state(topic, fact.value)

    def enter_reachable(self, heard: set[str]) -> None:
        """Mark the data centres as unreachable that have fallen silent."""
        members = self.members
        places = {vm.data_centre for vm in members.vm_list.vms} - {members.data_centre}
        members.heard |= {it for it in places if it in heard}
        silent = {it for it in members.heard if it not in heard}
        if silent != members.unreachable:
            members.unreachable = silent
            members.touch()


def open_fact_tables(clock: Clock) -> dict[Scope, FactTable]:
    """Return an empty table of facts for each scope."""
    return {scope: FactTable(clock) for scope in Scope}
