"""
JSON encoding of pieces.

The conversion is written by hand, because a router decodes thousands of pieces
per second and the general converter takes many times as long.
"""

from typing import Any

import attrs

from lentilhaven.endpoints.piece import Piece, TrailEntry
from lentilhaven.endpoints.stage_loss import StageLoss
from lentilhaven.tables.layer_range import LayerRange

StreamEvent = Piece | StageLoss


@attrs.define
class EventDecoder:
    """
    Decodes the events of one stream.

    All pieces of an attempt have the same trail, so the last decoded trail is
    cached: consecutive pieces whose trails have equal JSON share one list.

    Attributes
    ----------
    raw_trail : list or None
        JSON of the last trail; None before the first piece.
    trail : list of TrailEntry
        The last trail, decoded.

    Examples
    --------
    >>> EventDecoder().decode({"lost": {"endpoint": "e2", "detail": "refused"}})
    StageLoss(endpoint='e2', detail='refused')
    """

    raw_trail: list | None = None
    trail: list[TrailEntry] = attrs.field(factory=list)

    def decode(self, document: dict) -> StreamEvent:
        """
        Decode an event from its JSON object.

        Parameters
        ----------
        document : dict
            One parsed line of a stream.

        Raises
        ------
        KeyError, TypeError, ValueError
            If the object is not an event.
        """
        if "lost" in document:
            loss = document["lost"]
            return StageLoss(require_str(loss["endpoint"]), require_str(loss["detail"]))
        piece = document["piece"]
        return Piece(
            require_str(piece["request"]),
            require_int(piece["attempt"]),
            require_int(piece["position"]),
            require_str(piece["version"]),
            require_str(piece["token"]),
            self.decode_trail(piece["trail"]),
            require_str(piece["finish_reason"]),
        )

    def decode_trail(self, raw: list) -> list[TrailEntry]:
        """Decode a trail from its JSON array."""
        if raw != self.raw_trail:
            self.trail = [decode_entry(entry) for entry in raw]
            self.raw_trail = raw
        return self.trail


def decode_entry(entry: dict) -> TrailEntry:
    """Decode one entry of a trail from its JSON object."""
    layers = entry["layers"]
    return TrailEntry(
        require_str(entry["endpoint"]),
        LayerRange(require_int(layers["start"]), require_int(layers["stop"])),
        require_int(entry["attempt"]),
    )


def require_str(value: object) -> Any:
    """Return the value if it is a string, or raise `TypeError`."""
    if type(value) is not str:
        raise TypeError(f"expected str, not {value!r}")
    return value


def require_int(value: object) -> int:
    """Return the value if it is an integer and no Boolean, or raise `TypeError`."""
    if type(value) is not int:
        raise TypeError(f"expected int, not {value!r}")
    return value


def encode_piece(piece: Piece) -> dict:
    """
    Encode a piece as a JSON object.

    Examples
    --------
    >>> trail = [TrailEntry("e", LayerRange(0, 2), 1)]
    >>> piece = Piece("r", 1, 0, "v1", "a ", trail)
    >>> EventDecoder().decode({"piece": encode_piece(piece)}) == piece
    True
    """
    return {
        "request": piece.request,
        "attempt": piece.attempt,
        "position": piece.position,
        "version": piece.version,
        "token": piece.token,
        "trail": [encode_entry(entry) for entry in piece.trail],
        "finish_reason": piece.finish_reason,
    }


def encode_entry(entry: TrailEntry) -> dict:
    """Encode one entry of a trail as a JSON object."""
    layers = {"start": entry.layers.start, "stop": entry.layers.stop}
    return {"endpoint": entry.endpoint, "layers": layers, "attempt": entry.attempt}
