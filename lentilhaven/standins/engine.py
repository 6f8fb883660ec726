"""
A model engine that runs the toy model on a range of layers.

The head of a chain is the engine that runs its first stage; it generates the pieces.

The engine does not simulate the weight store, adapters, or the batching of streams.
The compute time of a token does not depend on the number of layers.
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
from lentilhaven.standins.advance import AdvanceRequest, AdvanceResult
from lentilhaven.standins.advance_wire import (
    decode_advance_result,
    encode_advance_request,
)
from lentilhaven.standins.engine_faults import EngineFaults
from lentilhaven.standins.engine_stream import EngineStream
from lentilhaven.standins.toy_model import embed, is_stop, unembed
from lentilhaven.tables.layer_range import LayerRange

#: Number of tokens that a head generates ahead of its reader before it pauses.
READ_AHEAD = 64

#: Time without a change after which a paused head cancels a stream that has no reader,
#: in seconds.
RESUME_WINDOW = 10.0

#: Exceptions raised if a request to another engine gets no usable response.
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


#: Number of new streams between two cancellations of idle streams.
SWEEP_INTERVAL = 64

#: Timeout of reading the cache or the outputs of another engine, in seconds.
IMPORT_TIMEOUT = 1.0

#: Timeout of one hop between engines, including all later hops, in seconds.
HOP_TIMEOUT = 60.0


class EngineRefusalError(Exception):
    """The engine refuses a request; sent as status 409."""


class SupersededError(EngineRefusalError):
    """A newer attempt of the request has begun; sent as status 410."""


class LostStageError(Exception):
    """
    A later stage of the chain failed, or the previous stage could not be read.

    Parameters
    ----------
    loss : StageLoss
        The stage and its error.
    """

    def __init__(self, loss: StageLoss) -> None:
        super().__init__(loss.detail)
        self.loss = loss


@attrs.define
class Engine:
    """
    State of one engine.

    Attributes
    ----------
    id : str
        Endpoint id of the engine.
    layers : LayerRange
        Layers that the engine holds.
    version : str
        Model version that the engine holds.
    session : aiohttp.ClientSession
        Session for requests to other engines.
    decode_time : float
        Compute time of the first position of a request to a stage, in seconds; a
        token of the answer takes only this position.
    prefill_time : float
        Compute time of each other position, of a prompt or of a rebuilt cache, in
        seconds.
    import_time : float
        Transfer time per token of an imported cache, in seconds.
    streams : dict
        `EngineStream` by request id.
    faults : EngineFaults
        Faults in force.
    leaving : bool
        Whether the engine is shutting down and refuses new streams.
    new_streams : int
        Number of streams accepted so far.
    refused_streams : int
        Number of streams refused because the engine is leaving.
    imports : int
        Number of caches imported from other engines.
    tasks : set of asyncio.Task
        Tasks that generate pieces.
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
        """Return the current load; KV memory is in layers times tokens."""
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
        Start to generate pieces as the head of a chain, and return the stream.

        Pieces and the task of an earlier attempt are discarded.

        Parameters
        ----------
        order : StreamOrder
            Order to carry out.

        Raises
        ------
        EngineRefusalError
            If the engine does not hold the version or layers, if it is told to
            refuse, if it is leaving and the request is new to it, or if a newer
            attempt has begun.
        """
        self.check_stage(order.version, order.chain[0])
        stream = self.get_or_create_stream(
            order.request, order.attempt, order.chain[0].layers
        )
        stream.order = order
        stream.chain = order.chain
        stream.started_at = asyncio.get_running_loop().time()
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
        task.add_done_callback(self.discard_task)
        return stream

    def discard_task(self, task: asyncio.Task) -> None:
        """Discard a finished task; each ends by the deadline of its order."""
        self.tasks.discard(task)
        # Retrieve the exception, such as the `TimeoutError` at the deadline, because
        # asyncio logs exceptions that are never retrieved.
        if not task.cancelled():
            task.exception()

    def check_stage(self, version: ModelVersion, stage: Stage) -> None:
        """Raise `EngineRefusalError` unless this engine can run the stage."""
        if version != self.version:
            raise EngineRefusalError(f"holds version {self.version}, not {version}")
        if self.faults.refusing:
            raise EngineRefusalError("told to refuse")
        if stage.endpoint != self.id or stage.layers != self.layers:
            raise EngineRefusalError(f"holds {self.layers}, not {stage}")

    def kill(self) -> None:
        """Abort every connection and lose all streams, as in a crash."""
        self.faults.dead = True
        for task in list(self.tasks):
            task.cancel()
        # Work in progress stops once it finds that its attempt is no longer current.
        for stream in self.streams.values():
            stream.attempt += 1
        self.streams.clear()
        for transport in list(self.faults.transports):
            transport.abort()
        self.faults.transports.clear()

    def revive(self) -> None:
        """Accept connections again; `kill` has removed all streams."""
        self.faults.dead = False

    def get_or_create_stream(
        self, request: RequestId, attempt: int, layers: LayerRange
    ) -> EngineStream:
        """
        Return the stream of a request, and record the attempt and the time of use.

        Creates a stream for an unknown request, or raises `EngineRefusalError` if the
        engine is leaving.  Raises `SupersededError` if a newer attempt has begun.
        """
        stream = self.streams.get(request)
        if stream is None:
            if self.leaving:
                self.refused_streams += 1
                raise EngineRefusalError("leaving")
            self.new_streams += 1
            if self.new_streams % SWEEP_INTERVAL == 0:
                self.cancel_idle_streams()
            stream = self.streams[request] = EngineStream(layers)
        if attempt < stream.attempt:
            raise SupersededError(f"attempt {attempt} is over")
        stream.attempt = attempt
        stream.last_used = asyncio.get_running_loop().time()
        return stream

    def cancel_idle_streams(self) -> None:
        """Cancel the streams unused for longer than twice `RESUME_WINDOW`."""
        limit = asyncio.get_running_loop().time() - 2 * RESUME_WINDOW
        for request in [it for it, s in self.streams.items() if s.last_used < limit]:
            self.cancel(request)

    async def generate(self, stream: EngineStream, order: StreamOrder) -> None:
        """
        Generate pieces until the answer ends, a stage fails or a newer attempt begins.

        A failed stage is reported to the readers of the stream.

        Parameters
        ----------
        stream : EngineStream
            Stream that receives the pieces.
        order : StreamOrder
            Order to carry out.
        """
        tokens = order.prompt + order.generated
        activations = [embed(order.version, token) for token in tokens]
        # A later attempt sends only the last position, since each stage fills in the
        # earlier positions that its cache lacks.
        start = 0 if order.attempt == 1 else len(tokens) - 1
        try:
            while stream.attempt == order.attempt:
                result = await self.advance_head(order, activations, start)
                piece = make_piece(order, len(tokens) - len(order.prompt), result)
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
        """
        Wait while the reader is `READ_AHEAD` or more tokens behind.

        Cancels the stream if it has no reader at the end of a `RESUME_WINDOW` in which
        nothing changed.
        """
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
    ) -> AdvanceResult:
        """Run the chain on the activations from `start` on, and return the result."""
        advance = AdvanceRequest(
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
        self, advance: AdvanceRequest, earlier: list[int] | None = None
    ) -> AdvanceResult:
        """
        Run this stage and all later stages, and return their result.

        Parameters
        ----------
        advance : AdvanceRequest
            Request with the input activations of this stage.
        earlier : list of int or None
            Input activations of all positions before `advance.start`; if None, they
            are read from the previous stage when needed.

        Raises
        ------
        EngineRefusalError
            If the engine does not hold the stage, refuses work, or a newer attempt
            has begun.
        LostStageError
            If a later stage fails, or the previous stage can't be read.
        """
        stage = advance.chain[advance.index]
        self.check_stage(advance.version, stage)
        stream = self.get_or_create_stream(
            advance.request, advance.attempt, stage.layers
        )
        stream.chain = advance.chain
        async with stream.lock:
            await self.rebuild_cache(stream, advance, earlier)
            stream.truncate(advance.start)
            await asyncio.sleep(self.compute_time(len(advance.activations)))
            # A paused engine does not compute either.
            await self.faults.running.wait()
            if advance.attempt != stream.attempt:
                raise SupersededError(f"attempt {advance.attempt} is over")
            stream.run_layers(advance.activations)
            outputs = stream.outputs[advance.start :]
        entry = TrailEntry(self.id, self.layers, advance.attempt)
        if advance.index == len(advance.chain) - 1:
            return AdvanceResult(outputs[-1], [entry])
        result = await self.send_advance(advance, outputs)
        return AdvanceResult(result.activation, [entry, *result.trail])

    def compute_time(self, count: int) -> float:
        """Return the compute time of `count` positions of one request, in seconds."""
        return self.decode_time + (count - 1) * self.prefill_time

    async def rebuild_cache(
        self, stream: EngineStream, advance: AdvanceRequest, earlier: list[int] | None
    ) -> None:
        """
        Fill the cache up to `advance.start`, by import or else by computing.

        `earlier` has the same meaning as in `advance`.
        """
        source = advance.chain[advance.index].import_from
        if source and stream.length < advance.start:
            await self.import_cache(stream, advance, source)
        missing = advance.start - stream.length
        if missing <= 0:
            return
        if earlier is None:
            earlier = await self.fetch_outputs(advance)
        await asyncio.sleep(missing * self.prefill_time)
        stream.run_layers(earlier[stream.length : advance.start])

    async def import_cache(
        self, stream: EngineStream, advance: AdvanceRequest, source: str
    ) -> None:
        """
        Import another engine's cache of the same layers, if it still has one.

        Replaces the cache and outputs of the stream.  On an error, or if the other
        engine holds other layers, both stay as they are, and the caller computes the
        missing positions.

        Parameters
        ----------
        stream : EngineStream
            Stream that receives the cache.
        advance : AdvanceRequest
            Request for which the cache is needed; positions from its start on are
            not imported.
        source : str
            Base URL of the other engine.
        """
        url = f"{source}/streams/{advance.request}/cache"
        limit = aiohttp.ClientTimeout(total=IMPORT_TIMEOUT)
        try:
            async with self.session.get(url, timeout=limit) as response:
                response.raise_for_status()
                body = await response.json()
        except REQUEST_ERRORS:
            return
        if body["start"] != self.layers.start or body["stop"] != self.layers.stop:
            return
        count = min(advance.start, len(body["outputs"]))
        await asyncio.sleep(count * self.import_time)
        stream.caches = body["caches"][:count]
        stream.outputs = body["outputs"][:count]
        self.imports += 1

    async def fetch_outputs(self, advance: AdvanceRequest) -> list[int]:
        """Return the previous stage's outputs, or raise `LostStageError` on failure."""
        previous = advance.chain[advance.index - 1]
        url = f"{previous.url}/streams/{advance.request}/outputs"
        try:
            limit = aiohttp.ClientTimeout(total=IMPORT_TIMEOUT)
            async with self.session.get(url, timeout=limit) as response:
                response.raise_for_status()
                return (await response.json())["outputs"]
        except REQUEST_ERRORS as error:
            raise LostStageError(StageLoss(previous.endpoint, str(error))) from error

    async def send_advance(
        self, advance: AdvanceRequest, outputs: list[int]
    ) -> AdvanceResult:
        """
        Send activations to the next stage and return its result.

        Raises `LostStageError` if that stage or a later one fails.
        """
        following = attrs.evolve(advance, index=advance.index + 1, activations=outputs)
        stage = advance.chain[following.index]
        url = f"{stage.url}/streams/{advance.request}/advance"
        try:
            limit = aiohttp.ClientTimeout(total=HOP_TIMEOUT)
            async with self.session.post(
                url, json=encode_advance_request(following), timeout=limit
            ) as response:
                body = await response.json()
        except REQUEST_ERRORS as error:
            raise LostStageError(StageLoss(stage.endpoint, repr(error))) from error
        if response.status == 200:
            return decode_advance_result(body)
        if "lost" in body:
            raise LostStageError(CONVERTER.structure(body["lost"], StageLoss))
        raise LostStageError(StageLoss(stage.endpoint, str(body)))

    def cancel(self, request: RequestId) -> None:
        """
        Cancel the stream of a request and remove its state, if there is any.

        Parameters
        ----------
        request : str
            Id of the request.
        """
        stream = self.streams.pop(request, None)
        if stream is None:
            return
        stream.attempt += 1
        stream.notify()
        if stream.task is not None:
            stream.task.cancel()

    async def close(self) -> None:
        """Cancel all tasks and wait for them."""
        for task in list(self.tasks):
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError, TimeoutError):
                await task


def make_piece(order: StreamOrder, position: int, result: AdvanceResult) -> Piece:
    """
    Return the piece for a result of the chain, with its finish reason if it is last.

    Parameters
    ----------
    order : StreamOrder
        Order that is carried out.
    position : int
        Position of the piece in the answer.
    result : AdvanceResult
        Result of the chain.
    """
    finish = ""
    if is_stop(result.activation):
        finish = "stop"
    elif position + 1 >= order.max_tokens:
        finish = "length"
    return Piece(
        request=order.request,
        attempt=order.attempt,
        position=position,
        version=order.version,
        token=unembed(result.activation),
        trail=result.trail,
        finish_reason=finish,
    )
