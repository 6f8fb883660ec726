"""
Clients of model engines and plain services.

A model engine holds a range of layers of one model version.  The router selects
a *chain* of engines, whose ranges cover the model once and in order, and sends
the request to the *head*, the first engine of the chain.  Each engine sends its
activations to the next one.  The head returns each generated token as a `Piece`,
with its *trail*: the engines and layer ranges that computed it.

Only this subpackage implements the protocols of endpoints.
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
