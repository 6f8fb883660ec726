"""
Failure detection by heartbeats to the VMs that this one monitors.

References
----------
Dadgar, Phillips and Currey, "Lifeguard: local health awareness for more accurate
failure detection", 2018: a monitor that is itself starved of processor time must
not suspect others.
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

#: Mean interval between heartbeats to one VM, in seconds.
HEARTBEAT_INTERVAL = 1.0

#: Seconds after which a heartbeat counts as missed.
HEARTBEAT_TIMEOUT = 0.5

#: Seconds before a missed heartbeat is sent again.
RETRY_DELAY = 0.1

#: Consecutive heartbeats that a VM must miss before this one suspects it.
MISSES_TO_VOTE = 2

#: Seconds of delay beyond the timeout that show a lack of processor time here.
STARVATION_LAG = 0.25

#: Seconds between updates of the set of monitored VMs.
SUBJECT_UPDATE_INTERVAL = 1.0

#: Scopes that VMs of different data centres exchange.
REMOTE_SCOPES = (Scope.URGENT, Scope.SUMMARY)

log = get_logger("membership")


@attrs.define
class Heartbeats:
    """
    Monitors the subjects of this VM, that is, the VMs to which it sends heartbeats.

    Attributes
    ----------
    gossip : Gossip
        Publishes suspicions.
    tables_version : callable
        Returns the version of the tables that this VM holds.
    catch_up : callable
        Called with a VM that holds newer tables.
    votes : dict
        Incarnations of the VMs that this one suspects, by VM.
    """

    gossip: Gossip
    tables_version: Callable[[], int]
    catch_up: Callable[[ListedVm], Awaitable[None]]
    votes: dict[VmId, int] = attrs.field(factory=dict)

    @property
    def own(self) -> Heartbeat:
        """Return the heartbeat of this VM."""
        return Heartbeat(
            self.gossip.members.own,
            self.gossip.incarnation,
            self.gossip.tables[Scope.URGENT].digest,
            self.tables_version(),
        )

    def handle_heartbeat(self, heartbeat: Heartbeat) -> Heartbeat:
        """
        Record a heartbeat and return this VM's own.

        Parameters
        ----------
        heartbeat : Heartbeat
            Heartbeat from a monitor.
        """
        self.gossip.members.record_incarnation(heartbeat.vm, heartbeat.incarnation)
        return self.own

    async def monitor_subjects(self) -> None:
        """Monitor the subjects of this VM; runs until cancelled."""
        members = self.gossip.members
        async with open_task_set(self.monitor) as tasks:
            while True:
                subjects = [
                    vm
                    for vm, monitors in sorted(members.monitors.items())
                    if members.own in monitors
                ]
                tasks.set_keys(subjects)
                self.set_votes(
                    {vm: self.votes[vm] for vm in self.votes if vm in subjects}
                )
                await self.gossip.clock.sleep(SUBJECT_UPDATE_INTERVAL)

    async def monitor(self, vm: VmId) -> None:
        """
        Send heartbeats to one VM while this one is among its monitors.

        Parameters
        ----------
        vm : str
            VM to monitor.
        """
        misses = 0
        while self.gossip.members.own in self.gossip.members.monitors.get(vm, []):
            started_at = self.gossip.clock.monotonic()
            answered = await self.send_heartbeat(vm)
            elapsed = self.gossip.clock.monotonic() - started_at
            starved = elapsed > HEARTBEAT_TIMEOUT + STARVATION_LAG
            misses = 0 if answered or starved else misses + 1
            if answered and vm in self.votes:
                self.set_votes({it: self.votes[it] for it in self.votes if it != vm})
            if misses == MISSES_TO_VOTE:
                known = self.gossip.members.incarnations.get(vm, 0)
                log.info("VM missed heartbeats; suspecting it", vm=vm)
                self.set_votes({**self.votes, vm: known})
            retrying = 0 < misses < MISSES_TO_VOTE
            delay = HEARTBEAT_INTERVAL * self.gossip.rng.uniform(0.9, 1.1)
            await self.gossip.clock.sleep(RETRY_DELAY if retrying else delay)

    async def send_heartbeat(self, vm: VmId) -> bool:
        """
        Send one heartbeat and return whether it was answered.

        If the response shows other urgent facts or newer tables, fetch them.  For a
        VM that is no longer listed, nothing is sent and the result is true.

        Parameters
        ----------
        vm : str
            VM to monitor.
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
        self.gossip.members.record_incarnation(vm, answer.ok.incarnation)
        if answer.ok.digest != self.gossip.tables[Scope.URGENT].digest:
            await self.gossip.exchange(peer, self.gossip.make_request(*REMOTE_SCOPES))
        if answer.ok.tables > self.tables_version():
            await self.catch_up(peer)
        return True

    def set_votes(self, votes: dict[VmId, int]) -> None:
        """Replace the suspicions of this VM and publish them if changed."""
        if votes == self.votes:
            return
        self.votes = votes
        self.gossip.publish(Topic.SUSPECTS, votes or None)
