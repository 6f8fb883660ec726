"""The newest manifest and endpoints that a process knows."""

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

#: Seconds after an outage of the store within which the entries of endpoints that
#: live are back.
RETURN_TIME = 2.0

log = get_logger("fleet")


@attrs.define
class FleetView:
    """
    What a gateway decides on.

    Versions are revisions of the platform's store, which number all of its
    changes; whatever is older than what is held is ignored, so that the source
    of a change does not matter.

    Attributes
    ----------
    manifest : Manifest or None
        The manifest in force; None until one is known.
    manifest_revision : int
        Revision of the store at which it was written.
    endpoints : dict
        `Endpoint` by id.
    document : Any
        The manifest as it was read, to be passed on.
    endpoints_revision : int
        Revision of the store up to which the endpoints are known.
    history : EndpointHistory
        Latest changes of endpoints.
    lapsed : dict
        Endpoints that vanished while the store was in trouble, by id, each with
        the time until which it is still used.
    doubt_until : float
        Time until which a vanished endpoint may come back.
    monotonic : callable
        Returns seconds.
    changed : Signal
        Wakes whoever waits for a change.
    """

    manifest: Manifest | None = None
    manifest_revision: int = 0
    document: Any = None
    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    endpoints_revision: int = 0
    history: EndpointHistory = attrs.field(factory=EndpointHistory)
    lapsed: dict[str, tuple[Endpoint, float]] = attrs.field(factory=dict)
    doubt_until: float = 0.0
    monotonic: Callable[[], float] = time.monotonic
    changed: Signal = attrs.field(factory=Signal)

    @property
    def known(self) -> bool:
        """Return whether requests can be served."""
        return self.manifest is not None and self.endpoints_revision > 0

    def digest(self) -> str:
        """Return a short text that two views share if they know the same endpoints."""
        parts = sorted(
            f"{it.id} {it.born} {it.draining} {it.layers}"
            for it in self.endpoints.values()
        )
        return hashlib.blake2s("\n".join(parts).encode(), digest_size=6).hexdigest()

    def adopt_manifest(
        self, manifest: Manifest, revision: int, source: str, document: Any = None
    ) -> bool:
        """
        Take a manifest if it is newer, and return whether it was.

        Parameters
        ----------
        manifest : Manifest
            What was read.
        revision : int
            Revision at which it was written.
        source : str
            Where it was read, for the log.
        document : Any
            The manifest as it was read.
        """
        if revision <= self.manifest_revision:
            return False
        held = self.manifest
        ensure(
            held is None or manifest.version >= held.version,
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
        """Take a whole list of endpoints if it is newer; return whether it was."""
        if revision < self.endpoints_revision:
            return False
        found = {endpoint.id: endpoint for endpoint in endpoints}
        gone = self.endpoints.keys() - found.keys()
        for name in gone:
            self.note_gone(self.endpoints[name], revision, source)
        changed = [it for it in found.values() if self.endpoints.get(it.id) != it]
        for endpoint in changed:
            self.log_endpoint("endpoint changed", endpoint, revision, source)
        self.endpoints = found
        self.advance(changed, gone, revision)
        self.changed.notify()
        return True

    def apply_changes(
        self,
        changed: Iterable[Endpoint],
        gone: Iterable[str],
        revision: int,
        source: str,
    ) -> None:
        """Take changes of single endpoints up to a revision."""
        if revision <= self.endpoints_revision:
            return
        vanished = [name for name in gone if name in self.endpoints]
        for name in vanished:
            self.note_gone(self.endpoints.pop(name), revision, source)
        differing = [it for it in changed if self.endpoints.get(it.id) != it]
        for endpoint in differing:
            self.log_endpoint("endpoint changed", endpoint, revision, source)
            self.endpoints[endpoint.id] = endpoint
        self.advance(differing, vanished, revision)
        self.changed.notify()

    def advance(
        self, changed: Iterable[Endpoint], gone: Iterable[str], revision: int
    ) -> None:
        """Note up to which revision the endpoints are known, and what changed."""
        step = EndpointChanges(
            self.endpoints_revision, revision, tuple(changed), tuple(gone)
        )
        self.endpoints_revision = revision
        self.history.add(step, self.monotonic())

    def follow_changes(self, step: EndpointChanges, source: str) -> bool:
        """
        Take changes that another process has learned; return whether they fit.

        Parameters
        ----------
        step : EndpointChanges
            What changed.
        source : str
            Who says it, for the log.
        """
        if not step.since <= self.endpoints_revision < step.until:
            return False
        self.apply_changes(step.changed, step.gone, step.until, source)
        return True

    def note_gone(self, endpoint: Endpoint, revision: int, source: str) -> None:
        """Note that an endpoint has vanished from the store's list."""
        self.log_endpoint("endpoint gone", endpoint, revision, source)
        now = self.monotonic()
        if now < self.doubt_until and not endpoint.draining:
            self.lapsed[endpoint.id] = (endpoint, self.doubt_until)

    def note_trouble(self) -> None:
        """
        Note that the store does not answer.

        Entries that lapse meanwhile are used until those that live are back.
        """
        self.doubt_until = self.monotonic() + RETURN_TIME

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new work."""
        found = [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and not endpoint.draining
        ]
        now = self.monotonic()
        for name, (endpoint, until) in list(self.lapsed.items()):
            if now >= until or name in self.endpoints:
                del self.lapsed[name]
            elif endpoint.service == service:
                found.append(endpoint)
        return found

    @staticmethod
    def log_endpoint(text: str, endpoint: Endpoint, revision: int, source: str) -> None:
        """Log a change of belief about an endpoint."""
        span = endpoint.layers
        log.info(
            text,
            endpoint=endpoint.id,
            address=endpoint.address,
            draining=endpoint.draining,
            born=endpoint.born,
            layers=f"{span.start}-{span.end}" if span else "",
            revision=revision,
            source=source,
        )
