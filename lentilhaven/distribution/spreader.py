"""Learns tables and the list of VMs from the store and from other agents."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.backoff import Backoff
from lentilhaven.core.clock import Clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.distribution.peer_state import PeerState
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.distribution.table_holder import TableHolder
from lentilhaven.distribution.table_reader import check_part, read_part
from lentilhaven.distribution.tree import find_parent
from lentilhaven.membership.members import Members
from lentilhaven.membership.peer_client import PeerClient
from lentilhaven.objects.object_client import ObjectClient
from lentilhaven.objects.vm import ListedVm
from lentilhaven.objects.vm_list import VmList

#: Seconds that a long poll to another agent waits.
POLL_TIMEOUT = 4.0

#: Seconds beyond its own timeout after which a long poll is taken for silent.
POLL_SLACK = 0.5

#: Seconds for reading one part from another agent.
PART_TIMEOUT = 1.0

log = get_logger("distribution")


@attrs.define
class Spreader:
    """
    Keeps one agent's tables and list of VMs up to date.

    Attributes
    ----------
    holder : TableHolder
        The tables.
    members : Members
        The VMs.
    client : ObjectClient
        The platform's store.
    peers : PeerClient
        Client of other agents.
    clock : Clock
        Source of time.
    random : random.Random
        Source of chance.
    fetching : asyncio.Lock
        Held while parts are read, so that none is read twice.
    ready : bool
        Whether the tables held are as new as those of the VMs asked at the start.
    """

    holder: TableHolder
    members: Members
    client: ObjectClient
    peers: PeerClient
    clock: Clock
    random: random.Random
    fetching: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    ready: bool = False

    def state(self, after_tables: int, after_vms: int) -> PeerState:
        """
        Return what another agent lacks.

        Parameters
        ----------
        after_tables, after_vms : int
            Versions that it holds.
        """
        head, vms = self.holder.head, self.members.vm_list
        return PeerState(
            self.ready,
            head.version,
            head if head.version > after_tables else None,
            vms if vms.version > after_vms else None,
        )

    async def wait_for_state(
        self, after_tables: int, after_vms: int, timeout: float
    ) -> PeerState:
        """
        Return what another agent lacks, once there is something.

        Parameters
        ----------
        after_tables, after_vms : int
            Versions that it holds.
        timeout : float
            Seconds after which to answer anyway.
        """

        def newer() -> bool:
            state = self.state(after_tables, after_vms)
            return state.head is not None or state.vms is not None

        await self.holder.changed.wait_until(newer, timeout)
        return self.state(after_tables, after_vms)

    async def poll(self, address: str, timeout: float) -> Result[PeerState, Failure]:
        """
        Ask another agent for what is newer, and adopt it.

        Parameters
        ----------
        address : str
            Base URL of the agent.
        timeout : float
            Seconds that it may wait for news.
        """
        held, listed = self.holder.head.version, self.members.vm_list.version
        query = f"tables={held}&vms={listed}&timeout={timeout}"
        url = f"{address}/peer/state?{query}"
        answer = await self.peers.get(url, PeerState, timeout + POLL_SLACK)
        if answer.is_error():
            return answer
        state = answer.ok
        if state.vms is not None:
            self.adopt_list(state.vms)
        if state.head is not None:
            adopted = await self.adopt(state.head, address)
            if adopted.is_error():
                return Error(adopted.error)
        return Ok(state)

    def adopt_list(self, vms: VmList) -> None:
        """Take over a newer list of VMs and wake the agents that wait for it."""
        if self.members.adopt_list(vms):
            self.holder.changed.notify()

    async def adopt(
        self, head: TableHead, address: str | None
    ) -> Result[bool, Failure]:
        """
        Put a head in force if it is newer, after reading the parts it lacks.

        Parameters
        ----------
        head : TableHead
            The head.
        address : str or None
            The agent that told of it; None for the store.
        """
        for part, document in head.inline.items():
            if check_part(part, document).is_ok():
                self.holder.keep_part(part, document)
        head = attrs.evolve(head, inline={})
        if head.version <= self.holder.head.version:
            return self.holder.adopt(head, {})
        async with self.fetching:
            documents = {
                part: self.holder.documents[part]
                for part in head.parts
                if part in self.holder.documents
            }
            for part in self.holder.missing_parts(head):
                outcome = await self.fetch_part(part, address)
                if outcome.is_error():
                    return Error(outcome.error)
                documents[part] = outcome.ok
            adopted = self.holder.adopt(head, documents)
        if adopted.is_error():
            log.error("tables are refused", error=str(adopted.error))
        elif adopted.ok:
            log.info("tables are in force", version=head.version)
        return adopted

    async def fetch_part(self, part: str, address: str | None) -> Result[Any, Failure]:
        """Read a part from the agent that told of it, else from the store."""
        if address is not None:
            url = f"{address}/peer/parts/{part}"
            answer = await self.peers.get_document(url, PART_TIMEOUT)
            checked = answer.bind(lambda document: check_part(part, document))
            if checked.is_ok():
                return checked
        return await read_part(self.client, part)

    async def catch_up(self, peer: ListedVm) -> None:
        """
        Learn at once from a VM that is known to hold newer tables.

        Parameters
        ----------
        peer : ListedVm
            The VM.
        """
        await self.poll(peer.address, 0.0)

    async def follow_parent(self) -> None:
        """Learn from the VM above this one in the tree, for ever."""
        await self.follow(self.choose_parent)

    async def follow_random(self) -> None:
        """Learn from one random VM after the other, for ever."""
        await self.follow(self.choose_random)

    async def follow(self, choose: Callable[[], ListedVm | None]) -> None:
        """Poll whomever a function returns, for ever."""
        backoff = Backoff(self.random, first=0.1, longest=1.0)
        while True:
            peer = choose()
            if peer is None:
                await self.members.changed.wait_until(
                    lambda: choose() is not None, POLL_TIMEOUT
                )
                continue
            outcome = await self.poll(peer.address, POLL_TIMEOUT)
            if outcome.is_ok():
                backoff.reset()
            else:
                log.info("another agent did not answer", error=str(outcome.error))
                await self.clock.sleep(backoff.next_delay())

    def choose_parent(self) -> ListedVm | None:
        """Return the VM above this one in the tree."""
        place = self.members.data_centre
        live = self.members.live_ids(place)
        parent = find_parent(self.members.own, place, live)
        return None if parent is None else self.members.find(parent)

    def choose_random(self) -> ListedVm | None:
        """Return any other live VM."""
        peers = self.members.peers()
        return self.random.choice(peers) if peers else None
