"""What an engine keeps of one stream."""

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
    The KV cache and boundary activations of one stream, and its pieces.

    Attributes
    ----------
    layers : LayerRange
        Layers that this engine runs.
    caches : list of list of int
        For each position, the caches of all layers after it.
    outputs : list of int
        For each position, the activation put out by the last layer here.
    attempt : int
        Newest attempt seen; older ones are refused.
    order : StreamOrder or None
        Set at the head of the chain.
    pieces : list of Piece
        Tokens made by the head in the current attempt.
    loss : StageLoss or None
        Set when a later stage failed in the current attempt.
    position : int
        Position of the first of `pieces`.
    read_until : int
        Number of tokens that the reader has taken.
    changed : asyncio.Event
        Set when `pieces`, `loss` or `read_until` change.
    lock : asyncio.Lock
        Held while positions are computed.
    chain : list of Stage
        Chain of the newest attempt.
    readers : int
        Open responses that send the pieces.
    task : asyncio.Task or None
        Generates at the head of the chain.
    began : float
        Time of the event loop at which the order came, in seconds.
    touched : float
        Time of the event loop at which it was last worked on, in seconds.
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
    began: float = 0.0
    touched: float = 0.0

    @property
    def length(self) -> int:
        """Return the number of positions in the KV cache."""
        return len(self.outputs)

    def truncate(self, length: int) -> None:
        """
        Forget positions from `length` on.

        Parameters
        ----------
        length : int
            Number of positions to keep.
        """
        del self.caches[length:]
        del self.outputs[length:]

    def run(self, activations: list[int]) -> None:
        """
        Run the layers for the next positions.

        Parameters
        ----------
        activations : list of int
            What the previous stage put out, from position `length` on.
        """
        for activation in activations:
            caches = list(self.caches[-1]) if self.caches else [0] * self.layers.size
            for index, cache in enumerate(caches):
                layer = self.layers.start + index
                caches[index], activation = run_layer(layer, cache, activation)
            self.caches.append(caches)
            self.outputs.append(activation)

    def notify(self) -> None:
        """Wake everything that waits for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def report_loss(self, loss: StageLoss, attempt: int) -> None:
        """
        Tell the reader that a stage was lost, unless a newer attempt has begun.

        Parameters
        ----------
        loss : StageLoss
            The stage, and how it failed.
        attempt : int
            The attempt that failed.
        """
        if self.attempt == attempt:
            self.loss = loss
            self.notify()
