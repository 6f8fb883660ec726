"""
Heartbeats to the VMs that this one monitors.

References
----------
Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more accurate
failure detection", 2018: a monitor that is starved itself must not blame others.
"""

from collections.abc import Awaitable, Callable

import attrs

from lentilhaven.core.ids import VmId
from lentilhaven.core.logs import get_logger
from lentilhaven.core.task_set import open_task_set
from lentilhaven.membership.fact_table import Scope, Topic
from lentilhaven.membership.gossip import Gossip
from lentilhaven.membership.messages import Heartbeat
from lentilhaven.objects.vm import ListedVm

#: Seconds between two heartbeats to one VM.
HEARTBEAT_INTERVAL = 1.0

#: Seconds after which a heartbeat counts as missed.
HEARTBEAT_TIMEOUT = 0.5

#: Seconds before a missed heartbeat is repeated.
REPEAT_DELAY = 0.1

#: Heartbeats in a row that a VM must miss.
MISSES_TO_VOTE = 2

#: Seconds by which this process runs late when it is starved of processor time.
STARVED_LAG = 0.25

#: Seconds after which the VMs to monitor are determined again.
REVIEW_INTERVAL = 1.0

#: What VMs of different data centres tell each other.
FAR_SCOPES = (Scope.URGENT, Scope.SUMMARY)

log = get_logger("membership")


@attrs.define
class Heartbeats:
    """
    Watches over the subjects of this VM.

    Attributes
    ----------
    gossip : Gossip
        Spreads suspicions.
    tables_version : callable
        Returns the version of the tables that this VM holds.
    catch_up : callable
        Called with a VM that holds newer tables.
    votes : dict
        Incarnations of the VMs that this one misses.
    """

    gossip: Gossip
    tables_version: Callable[[], int]
    catch_up: Callable[[ListedVm], Awaitable[None]]
    votes: dict[VmId, int] = attrs.field(factory=dict)

    @property
    def own(self) -> Heartbeat:
        """Return what this VM tells of itself."""
        return Heartbeat(
            self.gossip.members.own,
            self.gossip.incarnation,
            self.gossip.tables[Scope.URGENT].digest,
            self.tables_version(),
        )

    def answer(self, heartbeat: Heartbeat) -> Heartbeat:
        """
        Take note of a heartbeat and return this VM's own.

        Parameters
        ----------
        heartbeat : Heartbeat
            From a monitor.
        """
        self.gossip.members.note_incarnation(heartbeat.vm, heartbeat.incarnation)
        return self.own

    async def monitor_subjects(self) -> None:
        """Send heartbeats to the VMs that this one monitors, for ever."""
        members = self.gossip.members
        async with open_task_set(self.monitor) as tasks:
            while True:
                subjects = [
                    vm
                    for vm, monitors in sorted(members.monitors.items())
                    if members.own in monitors
                ]
                tasks.keep(subjects)
                self.keep_votes(
                    {vm: self.votes[vm] for vm in self.votes if vm in subjects}
                )
                await self.gossip.clock.sleep(REVIEW_INTERVAL)

    async def monitor(self, vm: VmId) -> None:
        """
        Send heartbeats to one VM, for ever.

        Parameters
        ----------
        vm : str
            The VM.
        """
        misses = 0
        while self.gossip.members.own in self.gossip.members.monitors.get(vm, []):
            began = self.gossip.clock.monotonic()
            heard = await self.beat(vm)
            taken = self.gossip.clock.monotonic() - began
            starved = taken > HEARTBEAT_TIMEOUT + STARVED_LAG
            misses = 0 if heard or starved else misses + 1
            if heard and vm in self.votes:
                self.keep_votes({it: self.votes[it] for it in self.votes if it != vm})
            if misses == MISSES_TO_VOTE:
                known = self.gossip.members.incarnations.get(vm, 0)
                log.info("a VM misses heartbeats; suspecting it", vm=vm)
                self.keep_votes({**self.votes, vm: known})
            early = 0 < misses < MISSES_TO_VOTE
            delay = HEARTBEAT_INTERVAL * self.gossip.random.uniform(0.9, 1.1)
            await self.gossip.clock.sleep(REPEAT_DELAY if early else delay)

    async def beat(self, vm: VmId) -> bool:
        """
        Send one heartbeat and return whether it was answered.

        Parameters
        ----------
        vm : str
            The VM.
        """
        peer = self.gossip.members.find(vm)
        if peer is None:
            return True
        url = f"{peer.address}/peer/heartbeat"
        answer = await self.gossip.peers.post(
            url, self.own, Heartbeat, HEARTBEAT_TIMEOUT
        )
        if answer.is_error() or answer.ok.vm != vm:
            return False
        self.gossip.members.note_incarnation(vm, answer.ok.incarnation)
        if answer.ok.digest != self.gossip.tables[Scope.URGENT].digest:
            await self.gossip.ask(peer, self.gossip.request(*FAR_SCOPES))
        if answer.ok.tables > self.tables_version():
            await self.catch_up(peer)
        return True

    def keep_votes(self, votes: dict[VmId, int]) -> None:
        """Replace the suspicions of this VM and spread them."""
        if votes == self.votes:
            return
        self.votes = votes
        self.gossip.state(Topic.SUSPECTS, votes or None)
