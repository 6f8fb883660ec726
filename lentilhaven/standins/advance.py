"""The request that carries activations from engine to engine, and its result."""

import attrs

from lentilhaven.core.ids import ModelVersion, RequestId
from lentilhaven.endpoints.piece import TrailEntry
from lentilhaven.endpoints.stage import Stage


@attrs.frozen
class AdvanceRequest:
    """
    Activations for one stage, at consecutive positions.

    Attributes
    ----------
    request, attempt, version : str, int, str
        Same as in the `StreamOrder`.
    chain : list of Stage
        Stages of the whole pipeline, head first.
    index : int
        Index in `chain` of the stage that receives the request.
    start : int
        Position of the first activation.
    activations : list of int
        Output activations of the previous stage, one per position.
    """

    request: RequestId
    attempt: int
    version: ModelVersion
    chain: list[Stage]
    index: int
    start: int
    activations: list[int]


@attrs.frozen
class AdvanceResult:
    """
    Result of the last stage, and the trail from the receiving stage to it.

    Attributes
    ----------
    activation : int
        Output activation of the last layer at the last position.
    trail : list of TrailEntry
        Contributions of the stages from the receiving one to the last.
    """

    activation: int
    trail: list[TrailEntry]
