"""HTTP API of the engine stand-in."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import attrs
from aiohttp import web

from lentilhaven.core.converter import CONVERTER, to_document
from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.core.serving import serve_app
from lentilhaven.endpoints.piece import Piece
from lentilhaven.endpoints.piece_codec import encode_piece
from lentilhaven.endpoints.stage_progress import StageProgress
from lentilhaven.endpoints.stream_order import StreamOrder
from lentilhaven.standins.advance_wire import (
    decode_advance_request,
    encode_advance_result,
)
from lentilhaven.standins.engine import (
    Engine,
    EngineRefusalError,
    LostStageError,
    SupersededError,
)
from lentilhaven.standins.engine_stream import EngineStream
from lentilhaven.tables.layer_range import LayerRange

ENGINE: web.AppKey[Engine] = web.AppKey("engine", Engine)


def engine_app(engine: Engine) -> web.Application:
    """
    Return the application that serves an engine.

    Parameters
    ----------
    engine : Engine
        State and faults of the engine.
    """
    app = web.Application(middlewares=[fault_middleware], client_max_size=64_000_000)
    app[ENGINE] = engine
    app.router.add_post("/streams", open_stream)
    app.router.add_get("/streams/{id}", read_stream)
    app.router.add_delete("/streams/{id}", cancel_stream)
    app.router.add_get("/streams/{id}/progress", read_progress)
    app.router.add_get("/streams/{id}/cache", export_cache)
    app.router.add_get("/streams/{id}/pieces", read_pieces)
    app.router.add_get("/streams/{id}/outputs", read_outputs)
    app.router.add_post("/streams/{id}/advance", advance_stream)
    app.router.add_get("/load", read_load)
    return app


@web.middleware
async def fault_middleware(request: web.Request, handler) -> web.StreamResponse:
    """Apply the faults before and after a call, and convert its errors to responses."""
    engine = request.app[ENGINE]
    await apply_faults(engine, request)
    try:
        response = await handler(request)
    except ConnectionError:
        # The caller has disconnected.
        response = web.Response(status=499)
    except SupersededError as error:
        response = web.json_response({"error": str(error)}, status=410)
    except EngineRefusalError as error:
        response = web.json_response({"error": str(error)}, status=409)
    except LostStageError as error:
        response = web.json_response({"lost": to_document(error.loss)}, status=502)
    await apply_faults(engine, request)
    return response


async def apply_faults(engine: Engine, request: web.Request) -> None:
    """
    Wait while the engine is unresponsive; abort the connection if the engine is dead.

    Also records the connection, so that the engine can later abort it, or keep it open
    and send nothing more on it.
    """
    transport = request.transport
    if transport is not None and transport not in engine.faults.transports:
        discard_closed_transports(engine)
        engine.faults.transports.add(transport)
    await engine.faults.wait_while_unresponsive(transport)
    if engine.faults.dead:
        if transport is not None:
            transport.abort()
        # Ends the handler without a response.
        raise asyncio.CancelledError


def discard_closed_transports(engine: Engine) -> None:
    """Remove closed connections from `EngineFaults.transports` and `muted`."""
    faults = engine.faults
    open_transports = {it for it in faults.transports if not it.is_closing()}
    faults.transports = open_transports
    faults.muted &= open_transports


def find_stream(request: web.Request) -> EngineStream:
    """Return the stream that the URL names, or raise a 404 error."""
    engine = request.app[ENGINE]
    stream = engine.streams.get(RequestId(request.match_info["id"]))
    if stream is None:
        raise web.HTTPNotFound(text="no such stream")
    return stream


async def open_stream(request: web.Request) -> web.StreamResponse:
    """Start a stream and send its pieces after those already generated."""
    order = CONVERTER.structure(await request.json(), StreamOrder)
    engine = request.app[ENGINE]
    if engine.faults.crashing_prompt and order.prompt == engine.faults.crashing_prompt:
        engine.faults.crashes += 1
        engine.kill()
        engine.revive()
        raise asyncio.CancelledError
    stream = engine.open_stream(order)
    return await send_events(request, stream, order, len(order.generated))


async def read_pieces(request: web.Request) -> web.StreamResponse:
    """
    Send the pieces of a running stream from a position on.

    Raises a 404 error if the engine is not the head of the stream, or does not keep
    the piece at that position.
    """
    stream = find_stream(request)
    position = int(request.query["position"])
    if stream.order is None or position < stream.position:
        raise web.HTTPNotFound(text=f"nothing is kept before {stream.position}")
    return await send_events(request, stream, stream.order, position)


async def send_events(
    request: web.Request, stream: EngineStream, order: StreamOrder, position: int
) -> web.StreamResponse:
    """Send pieces from `position` on as they are generated, one JSON object a line."""
    response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await response.prepare(request)
    stream.readers += 1
    try:
        await send_pieces(request, response, stream, order.attempt, position)
        await apply_faults(request.app[ENGINE], request)
        await response.write_eof()
    except ConnectionError:
        # The reader has disconnected; another one may continue reading the stream.
        response.force_close()
    finally:
        stream.readers -= 1
    return response


async def send_pieces(
    request: web.Request,
    response: web.StreamResponse,
    stream: EngineStream,
    attempt: int,
    position: int,
) -> None:
    """Send pieces until the answer ends, a stage is lost or `attempt` is superseded."""
    engine = request.app[ENGINE]
    while stream.attempt == attempt:
        await apply_faults(engine, request)
        changed = stream.changed
        made = stream.pieces[position - stream.position :]
        for piece in made:
            await response.write(encode_lines(engine, piece))
            position += 1
            stream.read_until = max(stream.read_until, position)
        if made:
            stream.notify()
            if made[-1].finish_reason:
                return
            continue
        if stream.loss is not None:
            line = json.dumps({"lost": to_document(stream.loss)})
            await response.write(line.encode() + b"\n")
            return
        await changed.wait()


def encode_lines(engine: Engine, piece: Piece) -> bytes:
    """Return the lines to send for a piece, with the piece faults in force if any."""
    noise = engine.faults.noise
    pieces = [piece] if noise is None else noise.disturb(piece)
    lines = [json.dumps({"piece": encode_piece(it)}) + "\n" for it in pieces]
    return "".join(lines).encode()


async def read_stream(request: web.Request) -> web.Response:
    """Return the order of a stream, with the time left to its deadline in seconds."""
    stream = find_stream(request)
    if stream.order is None:
        raise web.HTTPNotFound(text="not the head of this stream")
    elapsed = asyncio.get_running_loop().time() - stream.started_at
    remaining = max(0.0, stream.order.remaining - elapsed)
    order = attrs.evolve(stream.order, remaining=remaining)
    return web.json_response({"order": to_document(order)})


async def read_progress(request: web.Request) -> web.Response:
    """Return the progress of a stage; even a 404 shows that the engine is alive."""
    stream = find_stream(request)
    chain = stream.order.chain if stream.order else stream.chain
    progress = StageProgress(
        known=True,
        attempt=stream.attempt,
        made=stream.position + len(stream.pieces) if stream.order else 0,
        working=stream.lock.locked(),
        chain=[stage.endpoint for stage in chain],
    )
    return web.json_response(to_document(progress))


async def export_cache(request: web.Request) -> web.Response:
    """Return the layers, the KV cache and the output activations of a stream."""
    stream = find_stream(request)
    return web.json_response(
        {
            "start": stream.layers.start,
            "stop": stream.layers.stop,
            "caches": stream.caches,
            "outputs": stream.outputs,
        }
    )


async def cancel_stream(request: web.Request) -> web.Response:
    """
    Cancel a stream, and return whether it no longer exists.

    The stream is kept if it has a newer attempt than the query names, or if
    ``unread_only=1`` is given and a response still sends its pieces.
    """
    engine = request.app[ENGINE]
    request_id = RequestId(request.match_info["id"])
    stream = engine.streams.get(request_id)
    if stream is None:
        return web.json_response({"gone": True})
    has_reader = bool(stream.readers) and request.query["unread_only"] == "1"
    if has_reader or stream.attempt > int(request.query["attempt"]):
        return web.json_response({"gone": False})
    engine.cancel(request_id)
    return web.json_response({"gone": True})


async def read_outputs(request: web.Request) -> web.Response:
    """Return the output activations of this stage for a stream, one per position."""
    return web.json_response({"outputs": find_stream(request).outputs})


async def advance_stream(request: web.Request) -> web.Response:
    """Run this stage and all later stages, and return the result."""
    advance = decode_advance_request(await request.json())
    result = await request.app[ENGINE].advance(advance)
    return web.json_response(encode_advance_result(result))


async def read_load(request: web.Request) -> web.Response:
    """Return the load report of the engine."""
    return web.json_response(to_document(request.app[ENGINE].report_load()))


@asynccontextmanager
async def serve_engine(
    endpoint: EndpointId,
    layers: LayerRange,
    version: ModelVersion,
    connector: aiohttp.BaseConnector | None = None,
    port: int = 0,
) -> AsyncIterator[tuple[Engine, str]]:
    """
    Serve an engine and yield it with its base URL.

    Parameters
    ----------
    endpoint : str
        Endpoint id of the engine.
    layers : LayerRange
        Layers that the engine holds.
    version : str
        Model version that the engine holds.
    connector : aiohttp.BaseConnector or None
        Connector for requests to other engines, such as one for virtual time; None
        uses the default connector.
    port : int
        Port to listen on; 0 picks a free port.
    """
    async with aiohttp.ClientSession(connector=connector) as session:
        engine = Engine(endpoint, layers, version, session)
        try:
            async with serve_app(engine_app(engine), port=port) as url:
                yield engine, url
        finally:
            await engine.close()
