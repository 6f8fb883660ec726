"""The newest manifest and endpoints known to a process."""

import hashlib
import time
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from lentilhaven.core.invariants import ensure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.signal import Signal
from lentilhaven.core.store_position import START, StorePosition
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.endpoint_history import EndpointChanges, EndpointHistory
from lentilhaven.fleet.leaving_marks import LeavingMarks
from lentilhaven.fleet.manifest import Manifest
from lentilhaven.fleet.restored_entries import REREGISTRATION_TIME, RestoredEntries
from lentilhaven.fleet.store_era import StoreEra

log = get_logger("fleet")


@attrs.define
class FleetView:
    """
    The manifest and endpoints on which a gateway bases its decisions.

    Updates of endpoints are ordered by their position in the platform's store, and
    manifests by their version.  An update older than the current state is ignored, so
    that updates may come from any source, and a store that is restored from a copy
    takes nothing back.

    Attributes
    ----------
    manifest : Manifest or None
        The current manifest; None until one is known.
    manifest_position : StorePosition
        Latest position of the store at which the manifest was read.
    endpoints : dict
        `Endpoint` by id.
    document : Any
        The manifest as read, to be passed on to other gateways.
    endpoints_position : StorePosition
        Position of the store up to which the endpoints are known.
    era : StoreEra
        Newest known era of the store.
    leaving : LeavingMarks
        Endpoints that are known to be leaving.
    restored : RestoredEntries
        Decides which entries to believe after the store was restored.
    history : EndpointHistory
        Recent endpoint changes.
    retained : dict
        Endpoints that were removed while the store was failing, by id, each with
        the monotonic time until which it is still used, in seconds.
    removals_doubtful_until : float
        Monotonic time, in seconds, until which removed endpoints are retained because
        they may register again.
    monotonic : callable
        Returns a monotonic time, in seconds.
    changed : Signal
        Wakes the tasks that wait for a change.
    """

    manifest: Manifest | None = None
    manifest_position: StorePosition = START
    document: Any = None
    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    endpoints_position: StorePosition = START
    era: StoreEra = attrs.field(factory=StoreEra)
    leaving: LeavingMarks = attrs.field(factory=LeavingMarks)
    restored: RestoredEntries = attrs.field(factory=RestoredEntries)
    history: EndpointHistory = attrs.field(factory=EndpointHistory)
    retained: dict[str, tuple[Endpoint, float]] = attrs.field(factory=dict)
    removals_doubtful_until: float = 0.0
    monotonic: Callable[[], float] = time.monotonic
    changed: Signal = attrs.field(factory=Signal)

    @property
    def is_complete(self) -> bool:
        """Return whether a manifest and a list of endpoints are known."""
        return self.manifest is not None and self.endpoints_position > START

    @property
    def confirmed_endpoints(self) -> list[Endpoint]:
        """Return the endpoints that the store lists."""
        unconfirmed = self.restored.unconfirmed
        return [it for it in self.endpoints.values() if it.id not in unconfirmed]

    def digest(self) -> str:
        """
        Return a digest that is equal for views with the same endpoints.

        It covers the id, start time, draining state and layers of each endpoint.
        """
        parts = sorted(
            f"{it.id} {it.born} {it.draining} {it.layers}"
            for it in self.confirmed_endpoints
        )
        return hashlib.blake2s("\n".join(parts).encode(), digest_size=6).hexdigest()

    def adopt_manifest(
        self,
        manifest: Manifest,
        position: StorePosition,
        source: str,
        document: Any = None,
    ) -> bool:
        """
        Adopt a manifest if it is newer, and return whether it was adopted.

        The version decides, so that a restored store, which may hold an older manifest
        at a later position, does not take an accepted one back.

        Parameters
        ----------
        manifest : Manifest
            The decoded manifest.
        position : StorePosition
            Position of the store at which the manifest was written.
        source : str
            Where the manifest was read, for the log.
        document : Any
            The manifest as read, before decoding.

        Raises
        ------
        InvariantError
            If a manifest that was written later in the same era has a lower version.
        """
        current = self.manifest
        if current is not None and position <= self.manifest_position:
            if manifest.version <= current.version:
                return False
        elif current is not None and manifest.version < current.version:
            ensure(
                position.era > self.manifest_position.era,
                "manifest-version-rises",
                f"{manifest.version} at {position}",
            )
            log.warning(
                "older manifest of a restored store ignored",
                version=manifest.version,
                current=current.version,
                position=str(position),
                source=source,
            )
            return False
        self.manifest = manifest
        self.manifest_position = max(position, self.manifest_position)
        self.document = document
        log.info(
            "manifest adopted",
            version=manifest.version,
            position=str(position),
            routes=len(manifest.routes),
            source=source,
        )
        self.changed.notify()
        return True

    def replace_endpoints(
        self, endpoints: Iterable[Endpoint], position: StorePosition, source: str
    ) -> bool:
        """
        Adopt a full list of endpoints unless it is older than the current one.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            All endpoints.
        position : StorePosition
            Position of the store at which the list was read.
        source : str
            Where the list was read, for the log.

        Returns
        -------
        bool
            Whether the list was adopted.
        """
        if position < self.endpoints_position:
            return False
        now = self.monotonic()
        found = {it.id: self.apply_mark(it, now) for it in endpoints}
        if self.endpoints and position.era > self.endpoints_position.era:
            self.restored.begin(self.endpoints, set(found), now)
        found = self.restored.reconcile(self.endpoints, found, now)
        gone = self.endpoints.keys() - found.keys()
        for name in gone:
            self.record_removal(self.endpoints[name], position, source)
        changed = [it for it in found.values() if self.endpoints.get(it.id) != it]
        for endpoint in changed:
            self.log_endpoint("endpoint changed", endpoint, position, source)
        self.endpoints = found
        self.record_changes(changed, gone, position)
        self.changed.notify()
        return True

    def apply_changes(
        self,
        changed: Iterable[Endpoint],
        gone: Iterable[str],
        position: StorePosition,
        source: str,
    ) -> None:
        """
        Apply changes of single endpoints, unless their position is already known.

        Changes of another era are ignored: only a listing tells what a restored store
        holds.

        Parameters
        ----------
        changed : iterable of Endpoint
            New and changed endpoints.
        gone : iterable of str
            Ids of removed endpoints.
        position : StorePosition
            Position of the store that includes the changes.
        source : str
            Where the changes were read, for the log.
        """
        known = self.endpoints_position
        if position <= known or position.era != known.era:
            return
        removed = [name for name in gone if name in self.endpoints]
        for name in removed:
            self.restored.note_written(name)
            self.record_removal(self.endpoints.pop(name), position, source)
        now = self.monotonic()
        written = [self.apply_mark(it, now) for it in changed]
        updated = [it for it in written if self.endpoints.get(it.id) != it]
        for endpoint in updated:
            self.log_endpoint("endpoint changed", endpoint, position, source)
        for endpoint in written:
            self.restored.note_written(endpoint.id)
            self.endpoints[endpoint.id] = endpoint
        self.record_changes(updated, removed, position)
        self.changed.notify()

    def apply_mark(self, endpoint: Endpoint, now: float) -> Endpoint:
        """
        Return an endpoint as leaving if its incarnation is known to be.

        An endpoint that states this itself is marked, so that an older entry in a
        restored store does not revoke it.
        """
        if endpoint.draining:
            self.leaving.add(endpoint.incarnation, now)
        elif endpoint.incarnation in self.leaving:
            return attrs.evolve(endpoint, draining=True)
        return endpoint

    def mark_leaving(self, incarnation: tuple[str, int], source: str) -> bool:
        """
        Stop using an endpoint for new requests, whatever its entry in the store says.

        Parameters
        ----------
        incarnation : tuple of (str, int)
            Incarnation of the endpoint.
        source : str
            Who said that it is leaving, for the log.

        Returns
        -------
        bool
            Whether this was not known before.
        """
        if not self.leaving.add(incarnation, self.monotonic()):
            return False
        endpoint = self.endpoints.get(incarnation[0])
        if endpoint is not None and endpoint.incarnation == incarnation:
            marked = attrs.evolve(endpoint, draining=True)
            self.endpoints[endpoint.id] = marked
            self.log_endpoint(
                "endpoint is leaving", marked, self.endpoints_position, source
            )
            self.changed.notify()
        self.retained.pop(incarnation[0], None)
        return True

    def expire(self) -> None:
        """Remove what has not been confirmed in time after the store was restored."""
        now = self.monotonic()
        expired = self.restored.expire(now) & self.endpoints.keys()
        for name in expired:
            endpoint = self.endpoints.pop(name)
            self.log_endpoint(
                "endpoint gone", endpoint, self.endpoints_position, "no registration"
            )
        if expired:
            self.changed.notify()
        listed = {it.incarnation for it in self.endpoints.values()}
        self.leaving.remove_gone(listed, now)

    def record_changes(
        self, changed: Iterable[Endpoint], gone: Iterable[str], position: StorePosition
    ) -> None:
        """Record the changes and the position up to which the endpoints are known."""
        changes = EndpointChanges(
            self.endpoints_position, position, tuple(changed), tuple(gone)
        )
        self.endpoints_position = position
        self.history.add(changes, self.monotonic())

    def apply_peer_changes(self, changes: EndpointChanges, source: str) -> bool:
        """
        Apply changes received from another process if they continue this view.

        Parameters
        ----------
        changes : EndpointChanges
            The changes.
        source : str
            The sender, for the log.

        Returns
        -------
        bool
            False if the changes are too old, or leave out some after the position
            of this view.
        """
        if not changes.since <= self.endpoints_position < changes.until:
            return False
        self.apply_changes(changes.changed, changes.gone, changes.until, source)
        return True

    def record_removal(
        self, endpoint: Endpoint, position: StorePosition, source: str
    ) -> None:
        """
        Record that an endpoint was removed from the store's list.

        While removals are doubtful, the endpoint is retained unless it is draining.
        """
        self.log_endpoint("endpoint gone", endpoint, position, source)
        now = self.monotonic()
        self.restored.note_removed(endpoint, now)
        if now < self.removals_doubtful_until and not endpoint.draining:
            self.retained[endpoint.id] = (endpoint, self.removals_doubtful_until)

    def record_store_failure(self) -> None:
        """
        Record that the store does not respond.

        Endpoints whose entries expire meanwhile stay in use until live ones have
        had time to register again.
        """
        self.removals_doubtful_until = self.monotonic() + REREGISTRATION_TIME

    def of_service(self, service: str) -> list[Endpoint]:
        """
        Return the endpoints of a service that accept new requests.

        Removed endpoints that are still retained are included.
        """
        found = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and not endpoint.draining
        ]
        now = self.monotonic()
        for name, (endpoint, until) in list(self.retained.items()):
            if now >= until or name in self.endpoints:
                del self.retained[name]
            elif endpoint.service == service:
                found.append(endpoint)
        return found

    @staticmethod
    def log_endpoint(
        event: str, endpoint: Endpoint, position: StorePosition, source: str
    ) -> None:
        """Log a change of an endpoint."""
        span = endpoint.layers
        log.info(
            event,
            endpoint=endpoint.id,
            address=endpoint.address,
            draining=endpoint.draining,
            born=endpoint.born,
            layers=f"{span.start}-{span.end}" if span else "",
            position=str(position),
            source=source,
        )
