"""
The request that carries activations from engine to engine, and its result.

An activation is an integer, as in the toy model.
"""

import attrs

from lentilhaven.core.ids import ModelVersion, RequestId
from lentilhaven.endpoints.piece import TrailEntry
from lentilhaven.endpoints.stage import Stage


@attrs.frozen
class AdvanceRequest:
    """
    Activations for one stage, at consecutive positions.

    Positions count the tokens of the prompt and the answer together, from 0.

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
        Input activations of the stage, one per position: the embedded tokens at the
        head, and the outputs of the previous stage at all others.
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
    Output of the last stage, and the trail from the receiving stage to the last.

    Attributes
    ----------
    activation : int
        Output activation of the last layer at the last position.
    trail : list of TrailEntry
        Contributions of the stages from the receiving one to the last.
    """

    activation: int
    trail: list[TrailEntry]
