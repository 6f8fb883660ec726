"""The newest manifest and endpoints known to a process."""

import hashlib
import time
from collections.abc import Callable, Iterable
from typing import Any

import attrs

from lentilhaven.core.invariants import ensure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.signal import Signal
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.endpoint_history import EndpointChanges, EndpointHistory
from lentilhaven.fleet.manifest import Manifest

#: Seconds after a store outage within which live endpoints have registered again.
REREGISTRATION_TIME = 2.0

log = get_logger("fleet")


@attrs.define
class FleetView:
    """
    The manifest and endpoints on which a gateway bases its decisions.

    Updates are ordered by the revisions of the platform's store, which number all
    of its changes.  An update older than the current state is ignored, so that
    updates may come from any source.

    Attributes
    ----------
    manifest : Manifest or None
        The current manifest; None until one is known.
    manifest_revision : int
        Revision of the store at which the manifest was written.
    endpoints : dict
        `Endpoint` by id.
    document : Any
        The manifest as read, to be passed on to other gateways.
    endpoints_revision : int
        Revision of the store up to which the endpoints are known.
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
    manifest_revision: int = 0
    document: Any = None
    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    endpoints_revision: int = 0
    history: EndpointHistory = attrs.field(factory=EndpointHistory)
    retained: dict[str, tuple[Endpoint, float]] = attrs.field(factory=dict)
    removals_doubtful_until: float = 0.0
    monotonic: Callable[[], float] = time.monotonic
    changed: Signal = attrs.field(factory=Signal)

    @property
    def is_complete(self) -> bool:
        """Return whether a manifest and a list of endpoints are known."""
        return self.manifest is not None and self.endpoints_revision > 0

    def digest(self) -> str:
        """
        Return a digest that is equal for views with the same endpoints.

        It covers the id, start time, draining state and layers of each endpoint.
        """
        parts = sorted(
            f"{it.id} {it.born} {it.draining} {it.layers}"
            for it in self.endpoints.values()
        )
        return hashlib.blake2s("\n".join(parts).encode(), digest_size=6).hexdigest()

    def adopt_manifest(
        self, manifest: Manifest, revision: int, source: str, document: Any = None
    ) -> bool:
        """
        Adopt a manifest if it is newer, and return whether it was adopted.

        Parameters
        ----------
        manifest : Manifest
            The decoded manifest.
        revision : int
            Revision of the store at which the manifest was written.
        source : str
            Where the manifest was read, for the log.
        document : Any
            The manifest as read, before decoding.

        Raises
        ------
        InvariantError
            If the newer manifest has a lower version than the current one.
        """
        if revision <= self.manifest_revision:
            return False
        current = self.manifest
        ensure(
            current is None or manifest.version >= current.version,
            "manifest-version-rises",
            f"{manifest.version} at revision {revision}",
        )
        self.manifest = manifest
        self.manifest_revision = revision
        self.document = document
        log.info(
            "manifest adopted",
            version=manifest.version,
            revision=revision,
            routes=len(manifest.routes),
            source=source,
        )
        self.changed.notify()
        return True

    def replace_endpoints(
        self, endpoints: Iterable[Endpoint], revision: int, source: str
    ) -> bool:
        """
        Adopt a full list of endpoints unless it is older than the current one.

        Parameters
        ----------
        endpoints : iterable of Endpoint
            All endpoints.
        revision : int
            Revision of the store at which the list was read.
        source : str
            Where the list was read, for the log.

        Returns
        -------
        bool
            Whether the list was adopted.
        """
        if revision < self.endpoints_revision:
            return False
        found = {endpoint.id: endpoint for endpoint in endpoints}
        gone = self.endpoints.keys() - found.keys()
        for name in gone:
            self.record_removal(self.endpoints[name], revision, source)
        changed = [it for it in found.values() if self.endpoints.get(it.id) != it]
        for endpoint in changed:
            self.log_endpoint("endpoint changed", endpoint, revision, source)
        self.endpoints = found
        self.record_changes(changed, gone, revision)
        self.changed.notify()
        return True

    def apply_changes(
        self,
        changed: Iterable[Endpoint],
        gone: Iterable[str],
        revision: int,
        source: str,
    ) -> None:
        """
        Apply changes of single endpoints, unless their revision is already known.

        Parameters
        ----------
        changed : iterable of Endpoint
            New and changed endpoints.
        gone : iterable of str
            Ids of removed endpoints.
        revision : int
            Revision of the store that includes the changes.
        source : str
            Where the changes were read, for the log.
        """
        if revision <= self.endpoints_revision:
            return
        removed = [name for name in gone if name in self.endpoints]
        for name in removed:
            self.record_removal(self.endpoints.pop(name), revision, source)
        updated = [it for it in changed if self.endpoints.get(it.id) != it]
        for endpoint in updated:
            self.log_endpoint("endpoint changed", endpoint, revision, source)
            self.endpoints[endpoint.id] = endpoint
        self.record_changes(updated, removed, revision)
        self.changed.notify()

    def record_changes(
        self, changed: Iterable[Endpoint], gone: Iterable[str], revision: int
    ) -> None:
        """Record the changes and the revision up to which the endpoints are known."""
        changes = EndpointChanges(
            self.endpoints_revision, revision, tuple(changed), tuple(gone)
        )
        self.endpoints_revision = revision
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
            False if the changes are too old, or leave out some after the revision
            of this view.
        """
        if not changes.since <= self.endpoints_revision < changes.until:
            return False
        self.apply_changes(changes.changed, changes.gone, changes.until, source)
        return True

    def record_removal(self, endpoint: Endpoint, revision: int, source: str) -> None:
        """
        Record that an endpoint was removed from the store's list.

        While removals are doubtful, the endpoint is retained unless it is draining.
        """
        self.log_endpoint("endpoint gone", endpoint, revision, source)
        now = self.monotonic()
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
        event: str, endpoint: Endpoint, revision: int, source: str
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
            revision=revision,
            source=source,
        )
