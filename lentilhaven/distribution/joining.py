"""The start of an agent, which must not serve tables older than its peers'."""

import asyncio

import attrs

from lentilhaven.core.backoff import Backoff
from lentilhaven.core.logs import get_logger
from lentilhaven.distribution.spreader import Spreader
from lentilhaven.distribution.table_reader import read_head

#: Agents of its own data centre, and of all, that a joining agent asks.
NEAR_ASKED, FAR_ASKED = 3, 2


log = get_logger("distribution")


@attrs.define
class Joining:
    """
    Brings a new agent up to date.

    Attributes
    ----------
    spreader : Spreader
        Holds what is learnt.
    seeds : list of str
        Addresses of agents from the settings, for when the platform is down.
    """

    spreader: Spreader
    seeds: list[str]

    async def join(self) -> None:
        """
        Learn the tables, and set `Spreader.ready` once they are new enough.

        Agents that are ready answer for the tables in force.  Only where none
        does, in a system that starts as a whole, the store is read.
        """
        spreader = self.spreader
        backoff = Backoff(spreader.random, first=0.2, longest=1.0)
        while not spreader.ready:
            await self.learn_list()
            versions = await self.ask_peers()
            if versions:
                spreader.ready = spreader.holder.head.version >= max(versions)
            else:
                spreader.ready = await self.ask_store()
            if not spreader.ready:
                await spreader.clock.sleep(backoff.next_delay())
        log.info("joined", version=spreader.holder.head.version)
        spreader.holder.changed.notify()

    async def learn_list(self) -> None:
        """Read the list of VMs from the seeds, or else from the platform."""
        spreader = self.spreader
        if spreader.members.vm_list.version > 0:
            return
        await asyncio.gather(*(spreader.poll(seed, 0.0) for seed in self.seeds))
        if spreader.members.vm_list.version == 0:
            listed = await spreader.client.read_vm_list()
            if listed.is_ok():
                spreader.adopt_list(listed.ok)

    async def ask_peers(self) -> list[int]:
        """Ask some agents; return the versions of those that are ready."""
        members, source = self.spreader.members, self.spreader.random
        near = members.peers(members.data_centre)
        everyone = members.peers()
        asked = source.sample(near, min(NEAR_ASKED, len(near)))
        asked += source.sample(everyone, min(FAR_ASKED, len(everyone)))
        addresses = {vm.address for vm in asked} | set(self.seeds)
        polls = (self.spreader.poll(it, 0.0) for it in sorted(addresses))
        outcomes = await asyncio.gather(*polls)
        answers = [outcome.ok for outcome in outcomes if outcome.is_ok()]
        return [answer.version for answer in answers if answer.ready]

    async def ask_store(self) -> bool:
        """Read the store's head; return whether its tables are adopted."""
        head = await read_head(self.spreader.client)
        if head.is_error() or head.ok.version == 0:
            return False
        adopted = await self.spreader.adopt(head.ok, None)
        return adopted.is_ok()
