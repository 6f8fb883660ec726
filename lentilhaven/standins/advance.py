"""The message that carries activations from engine to engine."""

import attrs

from lentilhaven.core.ids import ModelVersion, RequestId
from lentilhaven.endpoints.piece import TrailEntry
from lentilhaven.endpoints.stage import Stage


@attrs.frozen
class Advance:
    """
    Activations for one stage, at consecutive positions.

    Attributes
    ----------
    request, attempt, version
        As in `StreamOrder`.
    chain : list of Stage
        The whole pipeline.
    index : int
        The addressed stage's place in the chain.
    start : int
        Position of the first activation.
    activations : list of int
        What the previous stage put out.
    """

    request: RequestId
    attempt: int
    version: ModelVersion
    chain: list[Stage]
    index: int
    start: int
    activations: list[int]


@attrs.frozen
class Advanced:
    """
    The result of the last stage, and the trail back to the asking stage.

    Attributes
    ----------
    activation : int
        What the last layer put out at the last position.
    trail : list of TrailEntry
        Stages from the addressed one to the last.
    """

    activation: int
    trail: list[TrailEntry]
