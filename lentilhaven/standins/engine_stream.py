"""State of one stream at an engine."""

import asyncio

import attrs

from lentilhaven.endpoints.piece import Piece
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.stage_loss import StageLoss
from lentilhaven.endpoints.stream_order import StreamOrder
from lentilhaven.standins.toy_model import run_layer
from lentilhaven.tables.layer_range import LayerRange


@attrs.define
class EngineStream:
    """
    KV cache, output activations and generated pieces of one stream.

    Attributes
    ----------
    layers : LayerRange
        Layers that this engine runs.
    caches : list of list of int
        For each position, the cache of each layer after that position.
    outputs : list of int
        For each position, the output activation of this engine's last layer.
    attempt : int
        Newest attempt seen; older attempts are refused.  Cancelling the stream
        increments it, which ends the work in progress.
    order : StreamOrder or None
        The order, at the head of the chain; None at other stages.
    pieces : list of Piece
        Pieces that the head has generated in the current attempt.
    loss : StageLoss or None
        Stage that failed in the current attempt, if any.
    position : int
        Position in the answer of the first entry of `pieces`.
    read_until : int
        Position in the answer up to which a reader has taken the pieces.
    changed : asyncio.Event
        Set at the next change of `pieces`, `loss` or `read_until`, then replaced.
    lock : asyncio.Lock
        Held while the engine computes positions of the stream.
    chain : list of Stage
        Chain of the newest attempt, head first.
    readers : int
        Number of open responses that send the pieces.
    task : asyncio.Task or None
        Task that generates the pieces, at the head of the chain.
    started_at : float
        Event loop time at which the order arrived, in seconds.
    last_used : float
        Event loop time of the last order or advance of the stream, in seconds.
    """

    layers: LayerRange
    caches: list[list[int]] = attrs.field(factory=list)
    outputs: list[int] = attrs.field(factory=list)
    attempt: int = 0
    order: StreamOrder | None = None
    pieces: list[Piece] = attrs.field(factory=list)
    loss: StageLoss | None = None
    position: int = 0
    read_until: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)
    lock: asyncio.Lock = attrs.field(factory=asyncio.Lock)
    chain: list[Stage] = attrs.field(factory=list)
    readers: int = 0
    task: asyncio.Task | None = None
    started_at: float = 0.0
    last_used: float = 0.0

    @property
    def length(self) -> int:
        """Return the number of positions in the KV cache."""
        return len(self.outputs)

    def truncate(self, length: int) -> None:
        """
        Remove all positions from `length` on.

        Parameters
        ----------
        length : int
            Number of positions to keep.
        """
        del self.caches[length:]
        del self.outputs[length:]

    def run_layers(self, activations: list[int]) -> None:
        """
        Run the layers at the next positions and store their caches and outputs.

        Parameters
        ----------
        activations : list of int
            Input activations of this engine's first layer, from position `length` on.
        """
        for activation in activations:
            caches = list(self.caches[-1]) if self.caches else [0] * self.layers.size
            for index, cache in enumerate(caches):
                layer = self.layers.start + index
                caches[index], activation = run_layer(layer, cache, activation)
            self.caches.append(caches)
            self.outputs.append(activation)

    def notify(self) -> None:
        """Wake all tasks that wait for `changed`."""
        self.changed.set()
        self.changed = asyncio.Event()

    def report_loss(self, loss: StageLoss, attempt: int) -> None:
        """
        Report a lost stage to the readers, unless a newer attempt has begun.

        Parameters
        ----------
        loss : StageLoss
            The stage and its error.
        attempt : int
            Attempt that failed.
        """
        if self.attempt == attempt:
            self.loss = loss
            self.notify()
