"""The HTTP side of the engine stand-in."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
from aiohttp import web

from lentilhaven.core.ids import EndpointId, ModelVersion, RequestId
from lentilhaven.core.serving import serve_app
from lentilhaven.core.settings import CONVERTER, to_document
from lentilhaven.endpoints.stream_order import StreamOrder
from lentilhaven.standins.advance import Advance
from lentilhaven.standins.engine import Engine, EngineRefusalError, LostStageError
from lentilhaven.standins.engine_stream import EngineStream
from lentilhaven.tables.layer_range import LayerRange

ENGINE: web.AppKey[Engine] = web.AppKey("engine", Engine)


def engine_app(engine: Engine) -> web.Application:
    """
    Return the application that serves `engine`.

    Parameters
    ----------
    engine : Engine
        State and faults.
    """
    app = web.Application(middlewares=[inject], client_max_size=64_000_000)
    app[ENGINE] = engine
    app.router.add_post("/streams", open_stream)
    app.router.add_get("/streams/{id}", read_stream)
    app.router.add_delete("/streams/{id}", cancel_stream)
    app.router.add_get("/streams/{id}/pieces", read_pieces)
    app.router.add_get("/streams/{id}/outputs", read_outputs)
    app.router.add_post("/streams/{id}/advance", advance_stream)
    app.router.add_get("/load", read_load)
    return app


@web.middleware
async def inject(request: web.Request, handler) -> web.StreamResponse:
    """Break the connection if the engine is dead, and answer refusals."""
    engine = request.app[ENGINE]
    break_if_dead(engine, request)
    try:
        response = await handler(request)
    except EngineRefusalError as error:
        return web.json_response({"error": str(error)}, status=409)
    except LostStageError as error:
        return web.json_response({"lost": to_document(error.loss)}, status=502)
    break_if_dead(engine, request)
    return response


def break_if_dead(engine: Engine, request: web.Request) -> None:
    """Close the connection without an answer if the engine is dead."""
    if engine.faults.dead:
        if request.transport is not None:
            request.transport.abort()
        raise asyncio.CancelledError


def find_stream(request: web.Request) -> EngineStream:
    """Return the stream that a URL names, or raise 404."""
    engine = request.app[ENGINE]
    stream = engine.streams.get(RequestId(request.match_info["id"]))
    if stream is None:
        raise web.HTTPNotFound(text="no such stream")
    return stream


async def open_stream(request: web.Request) -> web.StreamResponse:
    """Start a stream and send its events."""
    order = CONVERTER.structure(await request.json(), StreamOrder)
    stream = request.app[ENGINE].open_stream(order)
    return await send_events(request, stream, order, len(order.generated))


async def read_pieces(request: web.Request) -> web.StreamResponse:
    """Send the events of a running stream from a position."""
    stream = find_stream(request)
    position = int(request.query["position"])
    if stream.order is None or position < stream.position:
        raise web.HTTPNotFound(text=f"nothing is kept before {stream.position}")
    return await send_events(request, stream, stream.order, position)


async def send_events(
    request: web.Request, stream: EngineStream, order: StreamOrder, position: int
) -> web.StreamResponse:
    """Send pieces as they are made, one JSON object a line."""
    engine = request.app[ENGINE]
    response = web.StreamResponse(headers={"Content-Type": "application/x-ndjson"})
    await response.prepare(request)
    while stream.attempt == order.attempt:
        break_if_dead(engine, request)
        if order.request in engine.faults.silent_requests:
            await asyncio.Event().wait()
        changed = stream.changed
        made = stream.pieces[position - stream.position :]
        for piece in made:
            line = json.dumps({"piece": to_document(piece)})
            await response.write(line.encode() + b"\n")
            position += 1
            stream.read_until = max(stream.read_until, position)
        if made:
            stream.notify()
            if made[-1].finish_reason:
                break
            continue
        if stream.loss is not None:
            line = json.dumps({"lost": to_document(stream.loss)})
            await response.write(line.encode() + b"\n")
            break
        await changed.wait()
    await response.write_eof()
    return response


async def read_stream(request: web.Request) -> web.Response:
    """Answer how far a stream has come; 404 still shows that the engine lives."""
    stream = find_stream(request)
    order = stream.order
    return web.json_response(
        {
            "length": stream.length,
            "attempt": stream.attempt,
            "order": to_document(order) if order else None,
        }
    )


async def cancel_stream(request: web.Request) -> web.Response:
    """Forget a stream."""
    request.app[ENGINE].cancel(RequestId(request.match_info["id"]))
    return web.json_response({})


async def read_outputs(request: web.Request) -> web.Response:
    """Answer everything that a stage has put out for a stream."""
    return web.json_response({"outputs": find_stream(request).outputs})


async def advance_stream(request: web.Request) -> web.Response:
    """Run this stage and all later ones."""
    advance = CONVERTER.structure(await request.json(), Advance)
    advanced = await request.app[ENGINE].advance(advance)
    return web.json_response(to_document(advanced))


async def read_load(request: web.Request) -> web.Response:
    """Answer the engine's load."""
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
        Its endpoint id.
    layers : LayerRange
        Layers that it holds.
    version : str
        Model version that it holds.
    connector : aiohttp.BaseConnector or None
        Connector to other engines, for virtual time.
    port : int
        Port to listen on; 0 takes a free one.
    """
    async with aiohttp.ClientSession(connector=connector) as session:
        engine = Engine(endpoint, layers, version, session)
        try:
            async with serve_app(engine_app(engine), port=port) as url:
                yield engine, url
        finally:
            await engine.close()
