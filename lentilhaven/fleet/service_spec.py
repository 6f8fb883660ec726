"""Services of a manifest."""

import attrs

from lentilhaven.fleet.engine_spec import EngineSpec


@attrs.frozen
class ServiceSpec:
    """
    One service of the manifest.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path at which its replicas answer health checks.
    max_connections : int
        Maximum number of connections to one replica from all clients together.
    engine : EngineSpec or None
        The model that its replicas run; None for a plain service.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 100
    engine: EngineSpec | None = None
