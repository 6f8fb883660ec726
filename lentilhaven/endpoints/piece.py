"""Generated tokens and the stages that computed them."""

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen
class TrailEntry:
    """
    One stage's contribution to a token.

    Attributes
    ----------
    endpoint : str
        Id of the engine.
    layers : LayerRange
        Layers that the engine computed.
    attempt : int
        Number of the attempt that the layers were computed for.
    """

    endpoint: EndpointId
    layers: LayerRange
    attempt: int


@attrs.frozen
class Piece:
    """
    One generated token.

    Attributes
    ----------
    request : str
        Id of the request that it belongs to.
    attempt : int
        Number of the attempt that generated it.
    position : int
        Position of the token in the answer, counted from 0.
    version : str
        Model version that generated it.
    token : str
        Text of the token.
    trail : list of TrailEntry
        Contributions of the stages, in the order of computation.
    finish_reason : str
        ``"stop"`` or ``"length"`` on the last piece; empty on all others.
    """

    request: RequestId
    attempt: int
    position: int
    version: ModelVersion
    token: str
    trail: list[TrailEntry]
    finish_reason: str = ""
