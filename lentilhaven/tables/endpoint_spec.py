"""Entries of endpoints in the pool table."""

import attrs

from lentilhaven.core.ids import DataCentre, EndpointId, ModelVersion
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen
class EndpointSpec:
    """
    Endpoint (back end) of a pool.

    Attributes
    ----------
    id : str
        Name, unique across all pools.
    url : str
        Base URL, such as ``"http://10.0.0.7:8000"``.
    data_centre : str
        Data centre of the endpoint.
    layers : LayerRange or None
        Layers that a model engine holds; None for a plain service.
    version : str
        Model version that an engine holds; empty for a plain service.
    accelerator : str
        Key into the pool's ``accelerators``; empty for a plain service.
    leaving : bool
        Whether an operator is draining the endpoint: it gets no new requests.
    """

    id: EndpointId
    url: str
    data_centre: DataCentre
    layers: LayerRange | None = None
    version: ModelVersion = ModelVersion("")
    accelerator: str = ""
    leaving: bool = False
