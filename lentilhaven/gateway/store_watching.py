"""Following the platform's store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from expression import Result

from lentilhaven.core.backoff import Backoff
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.platform.manifest_format import decode_manifest
from lentilhaven.platform.replica_format import decode_replica
from lentilhaven.platform.store_client import KindListing, StoreClient
from lentilhaven.platform.store_kinds import CONFIG, MANIFEST, REPLICAS

#: Seconds that a watch waits for a change.  Each call is paid for; that a
#: connection has gone silent shows by its keep-alive probes, long before.
WATCH_TIME = 10.0

#: Seconds after a change until the next watch, so that one call brings several
#: changes; a small part of the time in which each must be in force.
GATHER_TIME = 0.4

#: Seconds between two looks whether this process is to follow the store.
WANTED_INTERVAL = 0.5

#: Limits of the pause after a failed call, in seconds.
FIRST_PAUSE, LONGEST_PAUSE = 0.1, 0.5

log = get_logger("store")


@attrs.define
class KindWatch:
    """
    Follows all objects of one kind.

    Attributes
    ----------
    client : StoreClient
        Makes the calls.
    kind : str
        What is followed.
    on_trouble : callable
        Called after each failed call.
    on_listing : callable
        Takes a whole listing.
    on_changes : callable
        Takes changes since the last listing.
    is_wanted : callable
        Returns whether this process follows the kind itself.
    revision : int
        Revision from which the next watch goes on; 0 before the first listing.
    backoff : Backoff
        Pauses after failures.
    touched_at : float
        Time of the event loop of the last answer.
    lost : bool
        Whether the last call failed.
    """

    client: StoreClient
    kind: str
    on_trouble: Callable[[], None]
    on_listing: Callable[[KindListing], None]
    on_changes: Callable[[KindListing], None]
    is_wanted: Callable[[], bool]
    backoff: Backoff
    revision: int = 0
    touched_at: float = 0.0
    lost: bool = False

    async def follow(self) -> None:
        """List, then watch for changes, for ever."""
        while True:
            if self.revision and not self.is_wanted():
                # Others tell what changes meanwhile.
                await asyncio.sleep(WANTED_INTERVAL)
                continue
            answer = await self.step()
            if answer.is_ok():
                self.note_answer()
                if answer.ok.changes:
                    await asyncio.sleep(GATHER_TIME)
                continue
            if answer.error.kind == "compacted":
                log.info("history is gone", kind=self.kind, revision=self.revision)
                self.revision = 0
                continue
            self.note_loss(answer.error)
            await asyncio.sleep(self.backoff.next_delay())

    async def step(self) -> Result[KindListing, Failure]:
        """Make one call and pass on what it answers."""
        if not self.revision:
            answer = await self.client.list_kind(self.kind)
            take: Callable[[KindListing], None] = self.on_listing
        else:
            answer = await self.client.watch_kind(self.kind, self.revision, WATCH_TIME)
            take = self.on_changes
        if answer.is_ok():
            take(answer.ok)
            self.revision = max(self.revision, answer.ok.revision)
        return answer

    def note_answer(self) -> None:
        """Note that the store has answered."""
        self.touched_at = asyncio.get_running_loop().time()
        self.backoff.reset()
        if self.lost:
            self.lost = False
            log.info("store regained", kind=self.kind, revision=self.revision)

    def note_loss(self, failure: Failure) -> None:
        """Note that a call failed."""
        self.on_trouble()
        if not self.lost:
            self.lost = True
            log.warning(
                "store lost",
                kind=self.kind,
                step=failure.step.value,
                reason=failure.kind,
                detail=failure.detail,
                revision=self.revision,
            )


def watch_manifest(gateway: Gateway, client: StoreClient) -> KindWatch:
    """
    Return a watch that keeps the gateway's manifest up to date.

    Parameters
    ----------
    gateway : Gateway
        Whose manifest it is.
    client : StoreClient
        Makes the calls.
    """

    def take(listing: KindListing) -> None:
        for change in listing.changes:
            if change.name == MANIFEST and change.value is not None:
                adopt(gateway, change.value, change.revision, "store")

    trouble = gateway.view.note_trouble
    wanted = follows_store(gateway)
    return KindWatch(client, CONFIG, trouble, take, take, wanted, make_backoff(gateway))


def adopt(gateway: Gateway, value: Any, revision: int, source: str) -> None:
    """Decode a manifest and put it in force if it is newer."""
    if revision <= gateway.view.manifest_revision:
        return
    try:
        manifest = decode_manifest(value)
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        detail = f"{type(error).__name__}: {error}"
        log.error("manifest can't be read", revision=revision, detail=detail)
        return
    gateway.view.adopt_manifest(manifest, revision, source, value)


def watch_replicas(gateway: Gateway, client: StoreClient) -> KindWatch:
    """
    Return a watch that keeps the gateway's endpoints up to date.

    Parameters
    ----------
    gateway : Gateway
        Whose endpoints they are.
    client : StoreClient
        Makes the calls.
    """
    view = gateway.view

    def take_all(listing: KindListing) -> None:
        found = [
            endpoint
            for change in listing.changes
            if (endpoint := decode_replica(change.name, change.value)) is not None
        ]
        view.replace_endpoints(found, listing.revision, "store")

    def take_changes(listing: KindListing) -> None:
        changed: dict[str, Endpoint | None] = {
            change.name: decode_replica(change.name, change.value)
            for change in listing.changes
        }
        view.apply_changes(
            [endpoint for endpoint in changed.values() if endpoint is not None],
            [name for name, endpoint in changed.items() if endpoint is None],
            listing.revision,
            "store",
        )

    return KindWatch(
        client,
        REPLICAS,
        view.note_trouble,
        take_all,
        take_changes,
        follows_store(gateway),
        make_backoff(gateway),
    )


def follows_store(gateway: Gateway) -> Callable[[], bool]:
    """Return a function that tells whether a gateway follows the store itself."""
    return lambda: gateway.reads_store(asyncio.get_running_loop().time())


def make_backoff(gateway: Gateway) -> Backoff:
    """Return the pauses after failed calls."""
    return Backoff(gateway.random, FIRST_PAUSE, LONGEST_PAUSE)


def limit_calls(
    reserve: Callable[[float], float | None], patience: float
) -> Callable[[Step], Awaitable[Failure | None]]:
    """
    Return the check that is made before each call to the store.

    Parameters
    ----------
    reserve : callable
        Takes the most seconds to wait, and returns the wait or None.
    patience : float
        Most seconds to wait for a turn.
    """

    async def wait(step: Step) -> Failure | None:
        pause = reserve(patience)
        if pause is None:
            detail = "this process has used up its share of the store's rate"
            return Failure(step, "store", "share-used-up", detail)
        if pause > 0:
            await asyncio.sleep(pause)
        return None

    return wait
