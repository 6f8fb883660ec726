"""Random faults in the pieces that an engine sends."""

import random
from collections import deque
from collections.abc import Callable

import attrs

from lentilhaven.core.ids import ModelVersion
from lentilhaven.endpoints.piece import Piece

#: Number of earlier pieces, of any stream and attempt, kept for replay.
HISTORY_SIZE = 64

#: Token of an invalid piece, which must not reach a caller.
WRONG_TOKEN = "WRONG "


#: Model version that no route names.
OTHER_VERSION = ModelVersion("other")

#: Function that takes a correct piece and returns the pieces to send in its place.
Disturbance = Callable[[Piece], list[Piece]]


@attrs.define
class PieceFaults:
    """
    Adds wrong pieces, and duplicates, drops and reorders correct ones.

    Attributes
    ----------
    random : random.Random
        Random number generator.
    rate : float
        Fraction of the pieces that are disturbed.
    history : deque of Piece
        Correct pieces of earlier calls, of any stream and attempt.
    held : Piece or None
        Delayed piece, which is sent after the next piece, of whatever stream.
    injected : int
        Number of disturbances so far.
    """

    random: random.Random
    rate: float
    history: deque[Piece] = attrs.field(factory=lambda: deque(maxlen=HISTORY_SIZE))
    held: Piece | None = None
    injected: int = 0

    @property
    def disturbances(self) -> list[Disturbance]:
        """Return the methods that disturb a piece and return the pieces to send."""
        order_faults = [
            self.duplicate,
            self.replay,
            self.change_attempt,
            self.change_position,
        ]
        content_faults = [self.change_trail, self.change_version]
        return [*order_faults, *content_faults, self.drop, self.delay]

    def disturb(self, piece: Piece) -> list[Piece]:
        """
        Return the pieces to send in place of a correct one.

        A piece that was delayed by the previous call is sent after them.

        Parameters
        ----------
        piece : Piece
            The correct piece.
        """
        held, self.held = self.held, None
        sent = [piece, held] if held is not None else [piece]
        if self.random.random() < self.rate:
            self.injected += 1
            sent = [*self.random.choice(self.disturbances)(piece), *sent[1:]]
        self.history.append(piece)
        return sent

    def duplicate(self, piece: Piece) -> list[Piece]:
        """Send the piece twice."""
        return [piece, piece]

    def replay(self, piece: Piece) -> list[Piece]:
        """Send a random piece of `history`, or the piece itself, before the piece."""
        return [*self.random.choices([*self.history, piece]), piece]

    def change_trail(self, piece: Piece) -> list[Piece]:
        """Send a copy whose trail lacks, repeats or reorders stages, then the piece."""
        trails = [piece.trail[1:], piece.trail[:1] + piece.trail]
        if len(piece.trail) > 1:
            trails.append(piece.trail[::-1])
        trail = self.random.choice(trails)
        return [attrs.evolve(piece, trail=trail, token=WRONG_TOKEN), piece]

    def drop(self, piece: Piece) -> list[Piece]:
        """Drop the piece."""
        return []

    def change_attempt(self, piece: Piece) -> list[Piece]:
        """Send a copy with an older attempt before the piece."""
        attempt = piece.attempt - 1
        return [attrs.evolve(piece, attempt=attempt, token=WRONG_TOKEN), piece]

    def change_version(self, piece: Piece) -> list[Piece]:
        """Send a copy with another model version before the piece."""
        return [attrs.evolve(piece, version=OTHER_VERSION, token=WRONG_TOKEN), piece]

    def change_position(self, piece: Piece) -> list[Piece]:
        """Send a copy with a later position before the piece."""
        position = piece.position + 1
        return [attrs.evolve(piece, position=position, token=WRONG_TOKEN), piece]

    def delay(self, piece: Piece) -> list[Piece]:
        """Hold the piece back until the next piece has been sent."""
        self.held = piece
        return []
