"""Watches of the manifest and the replicas in the platform's store."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
from expression import Error, Result

from lentilhaven.core.backoff import Backoff
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.step import Step
from lentilhaven.core.store_position import START, StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.store_era import StoreEra
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.platform.ignored_objects import IgnoredObjects
from lentilhaven.platform.manifest_format import decode_manifest, read_version
from lentilhaven.platform.replica_format import decode_replica, find_fault
from lentilhaven.platform.store_client import ObjectListing, StoreClient
from lentilhaven.platform.store_kinds import CONFIG, MANIFEST, REPLICAS
from lentilhaven.platform.store_page import ObjectChange

#: Seconds for which a watch call waits for a change.  The time is long because each
#: call is billed.  TCP keep-alive probes detect a dead connection much earlier.
WATCH_TIMEOUT = 10.0

#: Seconds from a change to the next watch call, so that one call returns several
#: changes; small compared with the time within which a change must take effect.
BATCH_DELAY = 0.4

#: Seconds between two checks of whether this process should follow the store.
FOLLOW_CHECK_INTERVAL = 0.5

#: Kinds of failure after which the objects must be listed again.
HISTORY_GONE = ("compacted", "restored")

#: Kinds of failure of a watch whose changes can't be read; a listing includes them.
UNREADABLE_CHANGES = ("unnamed", "too-large")

#: Bounds of the pause after a failed call, in seconds.
MIN_PAUSE, MAX_PAUSE = 0.1, 0.5

log = get_logger("store")


@attrs.define
class KindWatch:
    """
    Follows all objects of one kind in the store.

    Attributes
    ----------
    client : StoreClient
        Makes the calls.
    kind : str
        Kind of the objects.
    on_failure : callable
        Called after each failed call, except one that fails because the store does not
        have the history after `position`.
    on_listing : callable
        Takes a full listing.
    on_changes : callable
        Takes the changes since the last call.
    is_wanted : callable
        Returns whether this process should follow the kind itself.
    backoff : Backoff
        Pauses after failed calls.
    era : StoreEra
        Newest known era of the store.
    position : StorePosition
        Position from which the next watch call continues; `START` if the next call
        must be a listing: before the first listing, after the store has discarded the
        history, and after it was restored.
    answered_at : float
        Event loop time of the last successful call, in seconds.
    lost : bool
        Whether the last call failed; unchanged by a call that fails because the
        store does not have the history after `position`.
    """

    client: StoreClient
    kind: str
    on_failure: Callable[[], None]
    on_listing: Callable[[ObjectListing], None]
    on_changes: Callable[[ObjectListing], None]
    is_wanted: Callable[[], bool]
    backoff: Backoff
    era: StoreEra
    position: StorePosition = START
    answered_at: float = 0.0
    lost: bool = False

    async def follow(self) -> None:
        """List the objects, then watch for changes, until cancelled."""
        while True:
            if self.position > START and not self.is_wanted():
                # Other gateways report changes in the meantime.
                await asyncio.sleep(FOLLOW_CHECK_INTERVAL)
                continue
            answer = await self.call_store()
            if answer.is_ok():
                self.note_answer()
                if answer.ok.changes:
                    await asyncio.sleep(BATCH_DELAY)
                continue
            if needs_listing(answer.error):
                log.info(
                    "history is gone",
                    kind=self.kind,
                    position=str(self.position),
                    reason=answer.error.kind,
                )
                self.position = START
                continue
            self.note_failure(answer.error)
            await asyncio.sleep(self.backoff.next_delay())

    async def call_store(self) -> Result[ObjectListing, Failure]:
        """
        Make one call, list or watch, and pass its answer to the handler.

        A position of an earlier era is not watched: the store may have given its
        revision to another change.
        """
        lists = self.position.era < self.era.current or self.position == START
        if lists:
            answer = await self.client.list_kind(self.kind)
        else:
            answer = await self.client.watch_kind(
                self.kind, self.position, WATCH_TIMEOUT
            )
        if answer.is_ok():
            listing = answer.ok
            if listing.position.era < self.era.current:
                detail = f"{listing.position} is older than era {self.era.current}"
                return Error(Failure(Step.READ_OBJECT, "store", "outdated", detail))
            (self.on_listing if lists else self.on_changes)(listing)
            self.position = max(self.position, listing.position)
        return answer

    def note_answer(self) -> None:
        """Record that the store has answered."""
        self.answered_at = asyncio.get_running_loop().time()
        self.backoff.reset()
        if self.lost:
            self.lost = False
            log.info("store regained", kind=self.kind, position=str(self.position))

    def note_failure(self, failure: Failure) -> None:
        """Record that a call has failed."""
        self.on_failure()
        if not self.lost:
            self.lost = True
            log.warning(
                "store lost",
                kind=self.kind,
                step=failure.step.value,
                reason=failure.kind,
                detail=failure.detail,
                position=str(self.position),
            )


def needs_listing(failure: Failure) -> bool:
    """Return whether the objects must be listed after a failed call."""
    is_unreadable = failure.step is Step.WATCH and failure.kind in UNREADABLE_CHANGES
    return is_unreadable or failure.kind in HISTORY_GONE


def watch_manifest(gateway: Gateway, client: StoreClient) -> KindWatch:
    """
    Return a watch that keeps a gateway's manifest up to date.

    Parameters
    ----------
    gateway : Gateway
        The gateway.
    client : StoreClient
        Makes the calls.
    """
    ignored = IgnoredObjects(CONFIG)

    def apply(listing: ObjectListing) -> None:
        ignored.note_unnamed(listing.unnamed)
        for change in listing.changes:
            if change.fault:
                ignored.note(change, change.fault, is_error=change.name == MANIFEST)
            elif change.name == MANIFEST and change.value is not None:
                adopt_manifest(gateway, change.value, change.position, "store")

    on_failure = gateway.view.record_store_failure
    is_wanted = make_follow_check(gateway)
    return KindWatch(
        client,
        CONFIG,
        on_failure,
        apply,
        apply,
        is_wanted,
        make_backoff(gateway),
        gateway.view.era,
    )


def adopt_manifest(
    gateway: Gateway, value: Any, position: StorePosition, source: str
) -> None:
    """
    Decode a manifest and make it the current one if it is newer.

    A manifest that can't be decoded is logged, and the current one stays.

    Parameters
    ----------
    gateway : Gateway
        The gateway.
    value : Any
        The manifest as read.
    position : StorePosition
        Position of the store at which the manifest was written.
    source : str
        Where the manifest was read, for the log.
    """
    view = gateway.view
    if view.manifest is not None and position <= view.manifest_position:
        # Decoding takes long, and most reads return the current manifest.
        version = read_version(value)
        if version is not None and version <= view.manifest.version:
            return
    try:
        manifest = decode_manifest(value)
    except (
        KeyError,
        TypeError,
        ValueError,
        AttributeError,
        IndexError,
        OverflowError,
    ) as error:
        detail = f"{type(error).__name__}: {error}"
        log.error("manifest can't be read", position=str(position), detail=detail)
        return
    view.adopt_manifest(manifest, position, source, value)


def watch_replicas(gateway: Gateway, client: StoreClient) -> KindWatch:
    """
    Return a watch that keeps a gateway's endpoints up to date.

    Parameters
    ----------
    gateway : Gateway
        The gateway.
    client : StoreClient
        Makes the calls.
    """
    view = gateway.view

    ignored = IgnoredObjects(REPLICAS)

    def decode(change: ObjectChange) -> Endpoint | None:
        endpoint = decode_replica(change.name, change.value)
        if endpoint is None and (change.fault or change.value is not None):
            fault = change.fault or find_fault(change.name, change.value)
            ignored.note(change, fault)
        return endpoint

    def apply_listing(listing: ObjectListing) -> None:
        ignored.note_unnamed(listing.unnamed)
        found = [
            endpoint
            for change in listing.changes
            if (endpoint := decode(change)) is not None
        ]
        view.replace_endpoints(found, listing.position, "store")

    def apply_changes(listing: ObjectListing) -> None:
        # The last change of each replica; None if it was deleted or can't be decoded,
        # in which case its endpoint is removed.
        changed: dict[str, Endpoint | None] = {
            change.name: decode(change) for change in listing.changes
        }
        view.apply_changes(
            [endpoint for endpoint in changed.values() if endpoint is not None],
            [name for name, endpoint in changed.items() if endpoint is None],
            listing.position,
            "store",
        )

    return KindWatch(
        client,
        REPLICAS,
        view.record_store_failure,
        apply_listing,
        apply_changes,
        make_follow_check(gateway),
        make_backoff(gateway),
        view.era,
    )


def make_follow_check(gateway: Gateway) -> Callable[[], bool]:
    """Return a function that tells whether a gateway should follow the store itself."""
    return lambda: gateway.reads_store(asyncio.get_running_loop().time())


def make_backoff(gateway: Gateway) -> Backoff:
    """Return the pauses after failed calls."""
    return Backoff(gateway.random, MIN_PAUSE, MAX_PAUSE)


def limit_calls(
    reserve: Callable[[float], float | None], max_wait: float
) -> Callable[[Step], Awaitable[Failure | None]]:
    """
    Return the rate limit check that runs before each call to the store.

    Parameters
    ----------
    reserve : callable
        Takes the longest acceptable wait in seconds; returns the wait, or None if
        it would be longer.
    max_wait : float
        Longest acceptable wait, in seconds.

    Returns
    -------
    callable
        Takes the step that the call belongs to.  Waits until the call may be made, or
        returns a failure at once if the wait would be too long.
    """

    async def wait(step: Step) -> Failure | None:
        pause = reserve(max_wait)
        if pause is None:
            detail = "this process has used up its share of the store's rate"
            return Failure(step, "store", "share-used-up", detail)
        if pause > 0:
            await asyncio.sleep(pause)
        return None

    return wait
