"""The newest manifest and endpoints that a process knows."""

from collections.abc import Iterable

import attrs

from lentilhaven.core.invariants import ensure
from lentilhaven.core.logs import get_logger
from lentilhaven.core.signal import Signal
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.manifest import Manifest

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
    endpoints_revision : int
        Revision of the store up to which the endpoints are known.
    changed : Signal
        Wakes whoever waits for a change.
    """

    manifest: Manifest | None = None
    manifest_revision: int = 0
    endpoints: dict[str, Endpoint] = attrs.field(factory=dict)
    endpoints_revision: int = 0
    changed: Signal = attrs.field(factory=Signal)

    @property
    def known(self) -> bool:
        """Return whether requests can be served."""
        return self.manifest is not None and self.endpoints_revision > 0

    def adopt_manifest(self, manifest: Manifest, revision: int, source: str) -> bool:
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
        for gone in self.endpoints.keys() - found.keys():
            self.log_endpoint("endpoint gone", self.endpoints[gone], revision, source)
        for endpoint in found.values():
            if self.endpoints.get(endpoint.id) != endpoint:
                self.log_endpoint("endpoint changed", endpoint, revision, source)
        self.endpoints = found
        self.endpoints_revision = revision
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
        for name in gone:
            endpoint = self.endpoints.pop(name, None)
            if endpoint is not None:
                self.log_endpoint("endpoint gone", endpoint, revision, source)
        for endpoint in changed:
            if self.endpoints.get(endpoint.id) != endpoint:
                self.log_endpoint("endpoint changed", endpoint, revision, source)
            self.endpoints[endpoint.id] = endpoint
        self.endpoints_revision = revision
        self.changed.notify()

    def of_service(self, service: str) -> list[Endpoint]:
        """Return the endpoints of a service that take new work."""
        return [
            endpoint
            for endpoint in self.endpoints.values()
            if endpoint.service == service and not endpoint.draining
        ]

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
