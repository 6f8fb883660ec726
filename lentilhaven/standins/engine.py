"""
A model engine that runs the toy model on a range of layers.

Left out: batching shares no compute between streams, the weight store, and
adapters.  Its compute time is a constant per layer and token.
"""

import asyncio
import contextlib

import aiohttp
import attrs

from lentilhaven.core.converter import CONVERTER
from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.endpoints.piece import Piece, TrailEntry
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.stage_loss import StageLoss
from lentilhaven.endpoints.stream_order import StreamOrder
from lentilhaven.standins.advance import Advance, Advanced
from lentilhaven.standins.advance_wire import decode_advanced, encode_advance
from lentilhaven.standins.engine_faults import EngineFaults
from lentilhaven.standins.engine_stream import EngineStream
from lentilhaven.standins.toy_model import embed, is_stop, unembed
from lentilhaven.tables.layer_range import LayerRange

#: Tokens that a head generates ahead of its reader before it pauses.
READ_AHEAD = 64

#: Seconds without a reader after which a head cancels a stream.
RESUME_WINDOW = 10.0

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


#: New streams between two sweeps of old ones.
SWEEP_INTERVAL = 64

#: Seconds for the import of a cache.
IMPORT_TIMEOUT = 1.0

#: Seconds for one hop between engines.
HOP_TIMEOUT = 60.0


class EngineRefusalError(Exception):
    """The engine will not do what it was asked; answered with 409."""


class SupersededError(EngineRefusalError):
    """A newer attempt has begun; answered with 410."""


class LostStageError(Exception):
    """
    A later stage of the chain failed.

    Parameters
    ----------
    loss : StageLoss
        Which stage, and how.
    """

    def __init__(self, loss: StageLoss) -> None:
        super().__init__(loss.detail)
        self.loss = loss


@attrs.define
class Engine:
    """
    One engine.

    Attributes
    ----------
    id : str
        Its endpoint id.
    layers : LayerRange
        Layers that it holds.
    version : str
        Model version that it holds.
    session : aiohttp.ClientSession
        Connections to other engines.
    decode_time : float
        Seconds per generated token.
    prefill_time : float
        Seconds per token of a prompt or of a rebuilt cache.
    import_time : float
        Seconds per token of an imported cache.
    streams : dict
        `EngineStream` by request.
    faults : EngineFaults
        Faults in force.
    leaving : bool
        Whether it refuses new streams.
    new_streams : int
        Number of streams that began here.
    refused_streams : int
        Number of streams refused because it leaves.
    imports : int
        Number of caches copied from other engines.
    tasks : set of asyncio.Task
        Generation in progress.
    """

    id: EndpointId
    layers: LayerRange
    version: ModelVersion
    session: aiohttp.ClientSession
    decode_time: float = 0.005
    prefill_time: float = 0.0002
    import_time: float = 0.00002
    streams: dict[RequestId, EngineStream] = attrs.field(factory=dict)
    faults: EngineFaults = attrs.field(factory=EngineFaults)
    leaving: bool = False
    new_streams: int = 0
    refused_streams: int = 0
    imports: int = 0
    tasks: set[asyncio.Task] = attrs.field(factory=set)

    def report_load(self) -> LoadReport:
        """Return the load now."""
        kv_used = sum(s.length * s.layers.size for s in self.streams.values())
        return LoadReport(
            endpoint=self.id,
            running=len(self.streams),
            waiting=0,
            kv_used=float(kv_used),
            kv_capacity=1e9,
            version=self.version,
            layers=self.layers,
            leaving=self.leaving,
        )

    def open_stream(self, order: StreamOrder) -> EngineStream:
        """
        Start generating at the head of a chain.

        Parameters
        ----------
        order : StreamOrder
            What to generate.

        Raises
        ------
        EngineRefusalError
            If the version, the layers or the attempt are not right.
        """
        self.check_stage(order.version, order.chain[0])
        stream = self.claim_stream(order.request, order.attempt, order.chain[0].layers)
        stream.order = order
        stream.chain = order.chain
        stream.began = asyncio.get_running_loop().time()
        stream.pieces = []
        stream.loss = None
        stream.position = len(order.generated)
        stream.read_until = stream.position
        stream.notify()
        if stream.task is not None:
            stream.task.cancel()
        work = asyncio.wait_for(self.generate(stream, order), order.remaining)
        task = stream.task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.forget_task)
        return stream

    def forget_task(self, task: asyncio.Task) -> None:
        """Forget a task that has ended, at the latest at its order's deadline."""
        self.tasks.discard(task)
        if not task.cancelled():
            task.exception()

    def check_stage(self, version: ModelVersion, stage: Stage) -> None:
        """Refuse a stage that this engine does not hold."""
        if version != self.version:
            raise EngineRefusalError(f"holds version {self.version}, not {version}")
        if self.faults.refusing:
            raise EngineRefusalError("told to refuse")
        if stage.endpoint != self.id or stage.layers != self.layers:
            raise EngineRefusalError(f"holds {self.layers}, not {stage}")

    def kill(self) -> None:
        """Break every connection and forget everything, as a crash does."""
        self.faults.dead = True
        for task in list(self.tasks):
            task.cancel()
        for stream in self.streams.values():
            stream.attempt += 1
        self.streams.clear()
        for transport in list(self.faults.transports):
            transport.abort()
        self.faults.transports.clear()

    def revive(self) -> None:
        """Accept connections again, with an empty cache."""
        self.faults.dead = False

    def claim_stream(
        self, request: RequestId, attempt: int, layers: LayerRange
    ) -> EngineStream:
        """Return the stream of a request, refusing attempts that are too old."""
        stream = self.streams.get(request)
        if stream is None:
            if self.leaving:
                self.refused_streams += 1
                raise EngineRefusalError("leaving")
            self.new_streams += 1
            if self.new_streams % SWEEP_INTERVAL == 0:
                self.sweep()
            stream = self.streams[request] = EngineStream(layers)
        if attempt < stream.attempt:
            raise SupersededError(f"attempt {attempt} is over")
        stream.attempt = attempt
        stream.touched = asyncio.get_running_loop().time()
        return stream

    def sweep(self) -> None:
        """Forget the streams that nobody has worked on for long."""
        limit = asyncio.get_running_loop().time() - 2 * RESUME_WINDOW
        for request in [it for it, s in self.streams.items() if s.touched < limit]:
            self.cancel(request)

    async def generate(self, stream: EngineStream, order: StreamOrder) -> None:
        """
        Generate pieces until the answer ends or a stage fails.

        Parameters
        ----------
        stream : EngineStream
            Where the pieces go.
        order : StreamOrder
            What to generate.
        """
        tokens = order.prompt + order.generated
        activations = [embed(order.version, token) for token in tokens]
        start = 0 if order.attempt == 1 else len(tokens) - 1
        try:
            while stream.attempt == order.attempt:
                advanced = await self.advance_head(order, activations, start)
                piece = make_piece(order, len(tokens) - len(order.prompt), advanced)
                tokens.append(piece.token)
                activations.append(embed(order.version, piece.token))
                start = len(tokens) - 1
                if stream.attempt != order.attempt:
                    return
                stream.pieces.append(piece)
                stream.notify()
                if piece.finish_reason:
                    return
                await self.wait_for_reader(stream, order)
        except LostStageError as error:
            stream.report_loss(error.loss, order.attempt)
        except EngineRefusalError as error:
            stream.report_loss(StageLoss(self.id, str(error)), order.attempt)

    async def wait_for_reader(self, stream: EngineStream, order: StreamOrder) -> None:
        """Pause while the reader is too far behind; drop it when it stays away."""
        while stream.attempt == order.attempt:
            made = stream.position + len(stream.pieces)
            if made - stream.read_until < READ_AHEAD:
                return
            changed = stream.changed
            try:
                async with asyncio.timeout(RESUME_WINDOW):
                    await changed.wait()
            except TimeoutError:
                if stream.readers == 0:
                    self.cancel(order.request)

    async def advance_head(
        self, order: StreamOrder, activations: list[int], start: int
    ) -> Advanced:
        """Run the tokens from a position on through the chain."""
        advance = Advance(
            request=order.request,
            attempt=order.attempt,
            version=order.version,
            chain=order.chain,
            index=0,
            start=start,
            activations=activations[start:],
        )
        return await self.advance(advance, activations[:start])

    async def advance(
        self, advance: Advance, earlier: list[int] | None = None
    ) -> Advanced:
        """
        Run this stage and all later ones.

        Parameters
        ----------
        advance : Advance
            Activations from the previous stage.
        earlier : list of int or None
            Inputs of all earlier positions; asked of the previous stage when
            None and needed.

        Raises
        ------
        EngineRefusalError
            If the message is not for this engine or is too old.
        LostStageError
            If a later stage failed.
        """
        stage = advance.chain[advance.index]
        self.check_stage(advance.version, stage)
        stream = self.claim_stream(advance.request, advance.attempt, stage.layers)
        stream.chain = advance.chain
        async with stream.lock:
            await self.rebuild(stream, advance, earlier)
            stream.truncate(advance.start)
            await asyncio.sleep(self.compute_time(len(advance.activations)))
            await self.faults.running.wait()
            if advance.attempt != stream.attempt:
                raise SupersededError(f"attempt {advance.attempt} is over")
            stream.run(advance.activations)
            outputs = stream.outputs[advance.start :]
        entry = TrailEntry(self.id, self.layers, advance.attempt)
        if advance.index == len(advance.chain) - 1:
            return Advanced(outputs[-1], [entry])
        advanced = await self.send_advance(advance, outputs)
        return Advanced(advanced.activation, [entry, *advanced.trail])

    def compute_time(self, count: int) -> float:
        """Return the seconds that some positions take."""
        return self.decode_time + (count - 1) * self.prefill_time

    async def rebuild(
        self, stream: EngineStream, advance: Advance, earlier: list[int] | None
    ) -> None:
        """Compute the cache of the positions before an advance that are missing."""
        source = advance.chain[advance.index].import_from
        if source and stream.length < advance.start:
            await self.import_cache(stream, advance, source)
        missing = advance.start - stream.length
        if missing <= 0:
            return
        if earlier is None:
            earlier = await self.fetch_outputs(advance)
        await asyncio.sleep(missing * self.prefill_time)
        stream.run(earlier[stream.length : advance.start])

    async def import_cache(
        self, stream: EngineStream, advance: Advance, source: str
    ) -> None:
        """Copy another engine's cache of the same layers, if it still has one."""
        url = f"{source}/streams/{advance.request}/cache"
        limit = aiohttp.ClientTimeout(total=IMPORT_TIMEOUT)
        try:
            async with self.session.get(url, timeout=limit) as response:
                response.raise_for_status()
                body = await response.json()
        except LOST:
            return
        if body["start"] != self.layers.start or body["stop"] != self.layers.stop:
            return
        count = min(advance.start, len(body["outputs"]))
        await asyncio.sleep(count * self.import_time)
        stream.caches = body["caches"][:count]
        stream.outputs = body["outputs"][:count]
        self.imports += 1

    async def fetch_outputs(self, advance: Advance) -> list[int]:
        """Ask the previous stage for everything that it has put out."""
        previous = advance.chain[advance.index - 1]
        url = f"{previous.url}/streams/{advance.request}/outputs"
        try:
            limit = aiohttp.ClientTimeout(total=IMPORT_TIMEOUT)
            async with self.session.get(url, timeout=limit) as response:
                response.raise_for_status()
                return (await response.json())["outputs"]
        except LOST as error:
            raise LostStageError(StageLoss(previous.endpoint, str(error))) from error

    async def send_advance(self, advance: Advance, outputs: list[int]) -> Advanced:
        """Hand activations to the next stage and wait for the result."""
        following = attrs.evolve(advance, index=advance.index + 1, activations=outputs)
        stage = advance.chain[following.index]
        url = f"{stage.url}/streams/{advance.request}/advance"
        try:
            limit = aiohttp.ClientTimeout(total=HOP_TIMEOUT)
            async with self.session.post(
                url, json=encode_advance(following), timeout=limit
            ) as response:
                body = await response.json()
        except LOST as error:
            raise LostStageError(StageLoss(stage.endpoint, repr(error))) from error
        if response.status == 200:
            return decode_advanced(body)
        if "lost" in body:
            raise LostStageError(CONVERTER.structure(body["lost"], StageLoss))
        raise LostStageError(StageLoss(stage.endpoint, str(body)))

    def cancel(self, request: RequestId) -> None:
        """
        Forget a stream.

        Parameters
        ----------
        request : str
            The request.
        """
        stream = self.streams.pop(request, None)
        if stream is None:
            return
        stream.attempt += 1
        stream.notify()
        if stream.task is not None:
            stream.task.cancel()

    async def close(self) -> None:
        """Stop all generation."""
        for task in list(self.tasks):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, TimeoutError):
                await task


def make_piece(order: StreamOrder, position: int, advanced: Advanced) -> Piece:
    """
    Return the piece for the last stage's result.

    Parameters
    ----------
    order : StreamOrder
        What is being generated.
    position : int
        The piece's place in the answer.
    advanced : Advanced
        Result of the chain.
    """
    finish = ""
    if is_stop(advanced.activation):
        finish = "stop"
    elif position + 1 >= order.max_tokens:
        finish = "length"
    return Piece(
        request=order.request,
        attempt=order.attempt,
        position=position,
        version=order.version,
        token=unembed(advanced.activation),
        trail=advanced.trail,
        finish_reason=finish,
    )
