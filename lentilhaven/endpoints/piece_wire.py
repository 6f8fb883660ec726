"""
Pieces as JSON.

A router decodes thousands of pieces a second, so this is written out by hand:
the general converter takes many times as long.
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

    The trail is the same for all pieces of an attempt, so that the last one is
    kept: decoded lists are identical where their JSON is equal.

    Attributes
    ----------
    raw_trail : list
        JSON of the last trail.
    trail : list of TrailEntry
        What it stands for.

    Examples
    --------
    >>> EventDecoder().decode({"lost": {"endpoint": "e2", "detail": "refused"}})
    StageLoss(endpoint='e2', detail='refused')
    """

    raw_trail: list | None = None
    trail: list[TrailEntry] = attrs.field(factory=list)

    def decode(self, document: dict) -> StreamEvent:
        """
        Return the event that a JSON object stands for.

        Parameters
        ----------
        document : dict
            One parsed line of a stream.

        Raises
        ------
        KeyError, TypeError, ValueError
            If it is not an event.
        """
        if "lost" in document:
            loss = document["lost"]
            return StageLoss(text(loss["endpoint"]), text(loss["detail"]))
        piece = document["piece"]
        return Piece(
            text(piece["request"]),
            integer(piece["attempt"]),
            integer(piece["position"]),
            text(piece["version"]),
            text(piece["token"]),
            self.decode_trail(piece["trail"]),
            text(piece["finish_reason"]),
        )

    def decode_trail(self, raw: list) -> list[TrailEntry]:
        """Return the trail that a JSON array stands for."""
        if raw != self.raw_trail:
            self.trail = [decode_entry(entry) for entry in raw]
            self.raw_trail = raw
        return self.trail


def decode_entry(entry: dict) -> TrailEntry:
    """Return one entry of a trail."""
    layers = entry["layers"]
    return TrailEntry(
        text(entry["endpoint"]),
        LayerRange(integer(layers["start"]), integer(layers["stop"])),
        integer(entry["attempt"]),
    )


def text(value: object) -> Any:
    """Return a string, or raise `TypeError`."""
    if type(value) is not str:
        raise TypeError(f"expected str, not {value!r}")
    return value


def integer(value: object) -> int:
    """Return an integer, or raise `TypeError`."""
    if type(value) is not int:
        raise TypeError(f"expected int, not {value!r}")
    return value


def encode_piece(piece: Piece) -> dict:
    """
    Return the JSON object of a piece.

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
    """Return the JSON object of one entry of a trail."""
    layers = {"start": entry.layers.start, "stop": entry.layers.stop}
    return {"endpoint": entry.endpoint, "layers": layers, "attempt": entry.attempt}
