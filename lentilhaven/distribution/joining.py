"""Start-up of an agent, which must not serve older tables than its peers."""

import asyncio

import attrs

from lentilhaven.core.backoff import Backoff
from lentilhaven.core.logs import get_logger
from lentilhaven.distribution.state_sync import StateSync
from lentilhaven.distribution.table_reader import read_head

#: Numbers of agents that a joining agent polls, in its own data centre and in any.
LOCAL_SAMPLE_SIZE, GLOBAL_SAMPLE_SIZE = 3, 2


log = get_logger("distribution")


@attrs.define
class Joiner:
    """
    Brings a starting agent up to date.

    Attributes
    ----------
    state_sync : StateSync
        Adopts the tables and the list of VMs.
    seeds : list of str
        Base URLs of agents from the settings, used while the platform is down.
    """

    state_sync: StateSync
    seeds: list[str]

    async def join(self) -> None:
        """
        Fetch the tables, and set `StateSync.ready` once they are new enough.

        They are new enough once no ready agent that was polled has newer ones.
        Agents that are ready supply the current tables.  The store is read only
        if no such agent responds, as when the whole system starts.
        """
        state_sync = self.state_sync
        backoff = Backoff(state_sync.rng, initial_limit=0.2, max_limit=1.0)
        while not state_sync.ready:
            await self.fetch_vm_list()
            versions = await self.poll_peers()
            if versions:
                state_sync.ready = state_sync.holder.head.version >= max(versions)
            else:
                state_sync.ready = await self.adopt_from_store()
            if not state_sync.ready:
                await state_sync.clock.sleep(backoff.next_delay())
        log.info("joined", version=state_sync.holder.head.version)
        # The agent serves its tables from now on, even if they have not changed.
        state_sync.holder.changed.notify()

    async def fetch_vm_list(self) -> None:
        """If there is no list of VMs yet, fetch it from the seeds or the platform."""
        state_sync = self.state_sync
        if state_sync.members.vm_list.version > 0:
            return
        await asyncio.gather(*(state_sync.poll(seed, 0.0) for seed in self.seeds))
        if state_sync.members.vm_list.version == 0:
            listed = await state_sync.client.read_vm_list()
            if listed.is_ok():
                state_sync.adopt_list(listed.ok)

    async def poll_peers(self) -> list[int]:
        """Poll some agents and all seeds; return the versions of the ready agents."""
        members, rng = self.state_sync.members, self.state_sync.rng
        local_peers = members.peers(members.data_centre)
        all_peers = members.peers()
        sampled = rng.sample(local_peers, min(LOCAL_SAMPLE_SIZE, len(local_peers)))
        sampled += rng.sample(all_peers, min(GLOBAL_SAMPLE_SIZE, len(all_peers)))
        addresses = {vm.address for vm in sampled} | set(self.seeds)
        polls = (self.state_sync.poll(it, 0.0) for it in sorted(addresses))
        outcomes = await asyncio.gather(*polls)
        answers = [outcome.ok for outcome in outcomes if outcome.is_ok()]
        return [answer.version for answer in answers if answer.ready]

    async def adopt_from_store(self) -> bool:
        """Read the head from the store; return whether its tables were adopted."""
        head = await read_head(self.state_sync.client)
        if head.is_error() or head.ok.version == 0:
            return False
        adopted = await self.state_sync.adopt(head.ok, None)
        return adopted.is_ok()
