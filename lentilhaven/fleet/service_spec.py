"""Services of a manifest."""

import attrs

from lentilhaven.fleet.engine_spec import EngineSpec


@attrs.frozen
class ServiceSpec:
    """
    One service.

    Attributes
    ----------
    name : str
        Its name.
    health_path : str
        Where its replicas answer health checks.
    max_connections : int
        Connections that one replica accepts from all callers together.
    engine : EngineSpec or None
        The model that its replicas run; None for a plain service.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 100
    engine: EngineSpec | None = None
