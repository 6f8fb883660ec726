"""
The clients of model engines and plain services.

A model engine holds a range of layers of one model version.  The router names
a *chain* of engines, whose ranges cover the model once and in order, and sends
the request to the head of the chain.  Activations travel from engine to engine;
the head sends each generated token back as a `Piece`, with the *trail* of the
engines and ranges that made it.

This subpackage is the only one that knows the wires of endpoints.
"""

from lentilhaven.endpoints.engine_client import EngineClient
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.endpoints.piece import Piece, TrailEntry
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.stage_loss import StageLoss
from lentilhaven.endpoints.stream_order import StreamOrder

__all__ = [
    "EngineClient",
    "LoadReport",
    "Piece",
    "Stage",
    "StageLoss",
    "StreamOrder",
    "TrailEntry",
]
