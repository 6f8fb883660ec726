"""What an endpoint reports of its load."""

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen
class LoadReport:
    """
    An endpoint's own account of its load, which is old when it arrives.

    Attributes
    ----------
    endpoint : str
        The endpoint.
    running : int
        Streams or calls in work.
    waiting : int
        Streams or calls queued.
    kv_used : float
        Layers times tokens in its KV cache.
    kv_capacity : float
        Layers times tokens that the cache can hold.
    version : str
        Model version that it holds now.
    layers : LayerRange or None
        Layers that it holds now.
    leaving : bool
        Whether it has begun to leave.
    """

    endpoint: EndpointId
    running: int
    waiting: int
    kv_used: float = 0.0
    kv_capacity: float = 0.0
    version: ModelVersion = ModelVersion("")
    layers: LayerRange | None = None
    leaving: bool = False
