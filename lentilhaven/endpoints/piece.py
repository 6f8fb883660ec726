"""One generated token and the evidence of how it was made."""

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen
class TrailEntry:
    """
    One stage's part in a token.

    Attributes
    ----------
    endpoint : str
        The engine that ran.
    layers : LayerRange
        The layers that it ran.
    attempt : int
        The attempt under which it ran them.
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
        The request that it answers.
    attempt : int
        The attempt that made it.
    position : int
        Its place in the answer, counted from 0.
    version : str
        Model version that made it.
    token : str
        Its text.
    trail : list of TrailEntry
        The stages in the order in which they ran.
    finish_reason : str
        Empty except on the last piece: ``"stop"`` or ``"length"``.
    """

    request: RequestId
    attempt: int
    position: int
    version: ModelVersion
    token: str
    trail: list[TrailEntry]
    finish_reason: str = ""
