"""Keeps tables and list of VMs in sync with the store and other agents."""

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

#: Timeout of a long poll to another agent, in seconds.
POLL_TIMEOUT = 4.0

#: Time by which a long poll may exceed its timeout before it counts as failed, in
#: seconds.
POLL_SLACK = 0.5

#: Timeout for fetching one part from another agent, in seconds.
PART_TIMEOUT = 1.0

log = get_logger("distribution")


@attrs.define
class StateSync:
    """
    Keeps one agent's tables and list of VMs up to date.

    Attributes
    ----------
    holder : TableHolder
        The current tables.
    members : Members
        State of the VMs.
    client : ObjectClient
        Client of the platform's object store.
    peers : PeerClient
        Client of other agents.
    clock : Clock
        Clock that supplies times and delays.
    rng : random.Random
        Random number generator.
    fetch_lock : asyncio.Lock
        Held while parts are fetched, so that no part is fetched twice.
    ready : bool
        Whether the tables are as new as those of the agents polled at start-up.
    """

    holder: TableHolder
    members: Members
    client: ObjectClient
    peers: PeerClient
    clock: Clock
    rng: random.Random
    fetch_lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    ready: bool = False

    def newer_state(self, after_tables: int, after_vms: int) -> PeerState:
        """
        Return the head and the list of VMs if newer than the given versions.

        Parameters
        ----------
        after_tables, after_vms : int
            Versions that the other agent holds.
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
        Wait for a newer head or list of VMs, and return what is newer, if anything.

        Parameters
        ----------
        after_tables, after_vms : int
            Versions that the other agent holds.
        timeout : float
            Seconds after which to return anyway.
        """

        def newer() -> bool:
            state = self.newer_state(after_tables, after_vms)
            return state.head is not None or state.vms is not None

        await self.holder.changed.wait_until(newer, timeout)
        return self.newer_state(after_tables, after_vms)

    async def poll(self, address: str, timeout: float) -> Result[PeerState, Failure]:
        """
        Fetch newer tables and a newer list of VMs from an agent and adopt them.

        Parameters
        ----------
        address : str
            Base URL of the agent.
        timeout : float
            Seconds that the agent may wait for a newer version.

        Returns
        -------
        Result
            The agent's response, or a failure if there is none or if its tables
            could not be adopted.
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
        """Adopt a newer list of VMs and notify the long polls that wait for it."""
        if self.members.adopt_list(vms):
            self.holder.changed.notify()

    async def adopt(
        self, head: TableHead, address: str | None
    ) -> Result[bool, Failure]:
        """
        Adopt a head if it is newer, after fetching its missing parts.

        Parameters
        ----------
        head : TableHead
            The head.
        address : str or None
            Base URL of the agent that sent the head; None for the store.

        Returns
        -------
        Result
            Whether the head was newer, or a failure if a part could not be fetched
            or the tables are invalid.
        """
        for part, document in head.inline.items():
            if check_part(part, document).is_ok():
                self.holder.store_part(part, document)
        head = attrs.evolve(head, inline={})
        if head.version <= self.holder.head.version:
            # The holder only checks that heads of one version have the same edit.
            return self.holder.adopt(head, {})
        async with self.fetch_lock:
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
            log.error("tables rejected as invalid", error=str(adopted.error))
        elif adopted.ok:
            log.info("newer tables adopted", version=head.version)
        return adopted

    async def fetch_part(self, part: str, address: str | None) -> Result[Any, Failure]:
        """Fetch a part from the agent that sent its head, or else from the store."""
        if address is not None:
            url = f"{address}/peer/parts/{part}"
            answer = await self.peers.get_document(url, PART_TIMEOUT)
            checked = answer.bind(lambda document: check_part(part, document))
            if checked.is_ok():
                return checked
        return await read_part(self.client, part)

    async def catch_up(self, peer: ListedVm) -> None:
        """
        Fetch tables at once from a VM that is known to hold newer ones.

        Parameters
        ----------
        peer : ListedVm
            The VM.
        """
        await self.poll(peer.address, 0.0)

    async def poll_parent(self) -> None:
        """Poll the parent of this VM in the tree; runs until cancelled."""
        await self.poll_repeatedly(self.choose_parent)

    async def poll_random_peers(self) -> None:
        """Poll one random VM after the other; runs until cancelled."""
        await self.poll_repeatedly(self.choose_random)

    async def poll_repeatedly(self, choose: Callable[[], ListedVm | None]) -> None:
        """Poll the VM that `choose` returns, again and again until cancelled."""
        backoff = Backoff(self.rng, initial_limit=0.1, max_limit=1.0)
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
                log.info("poll of another agent failed", error=str(outcome.error))
                await self.clock.sleep(backoff.next_delay())

    def choose_parent(self) -> ListedVm | None:
        """Return the parent of this VM in the tree; None if it has no parent."""
        data_centre = self.members.data_centre
        live = self.members.live_ids(data_centre)
        parent = find_parent(self.members.own, data_centre, live)
        return None if parent is None else self.members.find(parent)

    def choose_random(self) -> ListedVm | None:
        """Return a random other live VM; None if there is none."""
        peers = self.members.peers()
        return self.rng.choice(peers) if peers else None
