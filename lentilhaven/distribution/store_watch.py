"""Watch of the platform's store by a few agents of each data centre."""

import attrs

from lentilhaven.core.backoff import Backoff
from lentilhaven.core.logs import get_logger
from lentilhaven.distribution.state_sync import StateSync
from lentilhaven.distribution.table_head import HEAD_NAME
from lentilhaven.distribution.table_reader import parse_head
from lentilhaven.distribution.tree import WATCHERS_PER_DATA_CENTRE, watch_key
from lentilhaven.objects.listing import Listing
from lentilhaven.objects.stored_object import StoredObject

#: Timeout of one watch request, in seconds.
WATCH_TIMEOUT = 2.0

#: Mean interval between reads of the list of VMs, in seconds.
LIST_INTERVAL = 1.0

log = get_logger("distribution")


@attrs.define
class StoreWatch:
    """
    Watches the tables and reads the list of VMs while this agent is a watcher.

    Attributes
    ----------
    state_sync : StateSync
        Adopts new heads and lists of VMs.
    resume_version : int or None
        Store version after which the watch resumes; None to list first.
    """

    state_sync: StateSync
    resume_version: int | None = None

    @property
    def is_watcher(self) -> bool:
        """Return whether this agent is a watcher of its data centre."""
        members = self.state_sync.members
        data_centre = members.data_centre
        return members.owns(
            watch_key(data_centre), WATCHERS_PER_DATA_CENTRE, data_centre
        )

    async def wait_until_watcher(self) -> None:
        """Wait until this agent is a watcher of its data centre."""
        while not self.is_watcher:
            self.resume_version = None
            members = self.state_sync.members
            await members.changed.wait_until(lambda: self.is_watcher, WATCH_TIMEOUT)

    async def watch_tables(self) -> None:
        """
        Adopt every change of the tables while a watcher; runs until cancelled.

        The head includes the new parts of its edit if they are small.  Such an
        edit can be adopted even if the store fails right after the commit.
        """
        backoff = Backoff(self.state_sync.rng, initial_limit=0.1, max_limit=2.0)
        while True:
            await self.wait_until_watcher()
            if await self.list_or_watch():
                backoff.reset()
            else:
                await self.state_sync.clock.sleep(backoff.next_delay())

    async def list_or_watch(self) -> bool:
        """Send one list or watch request and adopt its result; return the success."""
        client = self.state_sync.client
        if self.resume_version is None:
            outcome = await client.list_with_version(HEAD_NAME)
        else:
            outcome = await client.watch_from(
                HEAD_NAME, self.resume_version, WATCH_TIMEOUT
            )
        if outcome.is_error():
            log.warning(
                "list or watch of the table head failed", error=str(outcome.error)
            )
            # The next request lists the head again, since the store may no longer
            # have the changes after `resume_version` (compaction).
            self.resume_version = None
            return False
        return await self.adopt_listing(outcome.ok)

    async def adopt_listing(self, listing: Listing) -> bool:
        """
        Adopt the head in a listing, and resume the watch after its version.

        Returns whether that succeeded; if not, the next request lists again.
        """
        for stored in listing.objects:
            if stored.name == HEAD_NAME and not await self.adopt_head(stored):
                self.resume_version = None
                return False
        self.resume_version = listing.version
        return True

    async def adopt_head(self, stored: StoredObject) -> bool:
        """Adopt the head from the store; return whether that succeeded."""
        head = parse_head(stored)
        if head.is_error():
            log.error("table head in the store is invalid", error=str(head.error))
            return False
        return (await self.state_sync.adopt(head.ok, None)).is_ok()

    async def poll_vm_list(self) -> None:
        """Poll the platform's list of VMs while a watcher; runs until cancelled."""
        while True:
            await self.wait_until_watcher()
            listed = await self.state_sync.client.read_vm_list()
            if listed.is_ok():
                self.state_sync.adopt_list(listed.ok)
            jitter = self.state_sync.rng.uniform(0.9, 1.1)
            await self.state_sync.clock.sleep(LIST_INTERVAL * jitter)
