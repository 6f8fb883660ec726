"""Watching of the platform's store by a few agents of each data centre."""

import attrs

from lentilhaven.core.backoff import Backoff
from lentilhaven.core.logs import get_logger
from lentilhaven.distribution.spreader import Spreader
from lentilhaven.distribution.table_head import HEAD_NAME
from lentilhaven.distribution.table_reader import parse_head
from lentilhaven.distribution.tree import WATCHERS, watch_key
from lentilhaven.objects.listing import Listing
from lentilhaven.objects.stored_object import StoredObject

#: Seconds that a watch waits for a change.
WATCH_TIMEOUT = 2.0

#: Seconds between two reads of the list of VMs.
LIST_INTERVAL = 1.0

log = get_logger("distribution")


@attrs.define
class StoreWatch:
    """
    Holds the watch and reads the list while this agent has the duty.

    Attributes
    ----------
    spreader : Spreader
        Adopts what is seen.
    after : int or None
        Version of the store from which the watch goes on; None to list first.
    """

    spreader: Spreader
    after: int | None = None

    @property
    def on_duty(self) -> bool:
        """Return whether this agent is one of the watchers."""
        members = self.spreader.members
        place = members.data_centre
        return members.owns(watch_key(place), WATCHERS, place)

    async def wait_for_duty(self) -> None:
        """Wait until this agent is one of the watchers."""
        while not self.on_duty:
            self.after = None
            members = self.spreader.members
            await members.changed.wait_until(lambda: self.on_duty, WATCH_TIMEOUT)

    async def watch_tables(self) -> None:
        """
        Adopt every change of the tables while on duty, for ever.

        The head carries the parts of its edit, so that the edit can be adopted
        though the store goes down as soon as it has accepted it.
        """
        backoff = Backoff(self.spreader.random, first=0.1, longest=2.0)
        while True:
            await self.wait_for_duty()
            if await self.take_step():
                backoff.reset()
            else:
                await self.spreader.clock.sleep(backoff.next_delay())

    async def take_step(self) -> bool:
        """List or watch once; return whether it succeeded."""
        client = self.spreader.client
        if self.after is None:
            outcome = await client.list_at(HEAD_NAME)
        else:
            outcome = await client.watch_from(HEAD_NAME, self.after, WATCH_TIMEOUT)
        if outcome.is_error():
            log.warning("object API did not answer", error=str(outcome.error))
            # After a failure and after compaction alike the head is read again.
            self.after = None
            return False
        return await self.take_listing(outcome.ok)

    async def take_listing(self, listing: Listing) -> bool:
        """Adopt the head of a listing and go on from its version."""
        for stored in listing.objects:
            if stored.name == HEAD_NAME and not await self.adopt_head(stored):
                self.after = None
                return False
        self.after = listing.version
        return True

    async def adopt_head(self, stored: StoredObject) -> bool:
        """Adopt a head that the store holds; return whether that succeeded."""
        head = parse_head(stored)
        if head.is_error():
            log.error("the head can't be read", error=str(head.error))
            return False
        return (await self.spreader.adopt(head.ok, None)).is_ok()

    async def follow_list(self) -> None:
        """Read the platform's list of VMs while on duty, for ever."""
        while True:
            await self.wait_for_duty()
            listed = await self.spreader.client.read_vm_list()
            if listed.is_ok():
                self.spreader.adopt_list(listed.ok)
            jitter = self.spreader.random.uniform(0.9, 1.1)
            await self.spreader.clock.sleep(LIST_INTERVAL * jitter)
