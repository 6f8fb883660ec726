"""Load reports of endpoints."""

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen
class LoadReport:
    """
    Load of an endpoint as measured by itself; already out of date on arrival.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    running : int
        Number of streams or calls that run.
    waiting : int
        Number of streams or calls that are queued.
    kv_used : float
        KV cache in use, in layers times tokens.
    kv_capacity : float
        Capacity of the KV cache, in layers times tokens.
    version : str
        Model version that the endpoint currently holds; empty if it holds none.
    layers : LayerRange or None
        Layers that the endpoint currently holds; None if it holds none.
    leaving : bool
        Whether the endpoint has begun to shut down.
    """

    endpoint: EndpointId
    running: int
    waiting: int
    kv_used: float = 0.0
    kv_capacity: float = 0.0
    version: ModelVersion = ModelVersion("")
    layers: LayerRange | None = None
    leaving: bool = False
