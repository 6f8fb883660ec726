"""The listeners of a gateway."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
from aiohttp import web

from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import describe_defect, get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.core.tasks import running_tasks
from lentilhaven.fleet.route_rule import RouteKind
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.caller_connection import (
    CallerConnection,
    close_idle,
    make_request_factory,
)
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.gateway_metrics import record_request
from lentilhaven.gateway.intake import take_request
from lentilhaven.gateway.refusals import refuse
from lentilhaven.gateway.service_relay import relay_call
from lentilhaven.gateway.stream_relay import relay_stream
from lentilhaven.platform.request_head import decode_request_head

#: Connections that wait to be accepted; a burst of callers on one VM.
BACKLOG = 1024

#: Seconds between two looks for idle connections.
IDLE_INTERVAL = 1.0

#: Seconds for handlers to end once the process ends; what was to be served has been
#: served by then.  Zero would mean no limit.
CLOSE_TIMEOUT = 0.1

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = get_logger("gateway")


def make_caller_handler(gateway: Gateway) -> Handler:
    """
    Return the function that answers callers.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        gateway.active += 1
        try:
            response = await answer(gateway, request)
        finally:
            gateway.active -= 1
            if isinstance(request.protocol, CallerConnection):
                request.protocol.used_at = asyncio.get_running_loop().time()
            gateway.ended.notify()
        if gateway.leaving:
            response.force_close()
        return response

    return handle


async def answer(gateway: Gateway, request: web.BaseRequest) -> web.StreamResponse:
    """Serve one request and log how it ended."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    taken = await take_request(gateway, request)
    if taken.is_error():
        failure = taken.error
        head = decode_request_head(request.headers)
        log.info(
            "request refused",
            request=head.request_id,
            step=failure.step.value,
            kind=failure.kind,
            manifest_revision=gateway.view.manifest_revision,
        )
        gateway.counters[f"refused: {failure.kind}"] += 1
        return refuse(failure)
    call: Call = taken.ok
    try:
        response = await relay(gateway, request, call)
    except asyncio.CancelledError:
        log.info("caller left", request=call.id, ms=millis(loop.time() - began))
        raise
    except Exception as error:
        place = describe_defect(error)
        log.error("request failed here", request=call.id, **place)
        detail = "the gateway failed"
        response = refuse(Failure(Step.INTERNAL, "", "defect", detail, Ran.UNKNOWN))
    gateway.counters[f"answered: {response.status}"] += 1
    record_request(gateway, call, response.status, loop.time() - began)
    log.info(
        "request ended",
        request=call.id,
        route=call.route.name,
        service=call.service,
        kind=call.route.kind.value,
        workspace=call.tenant,
        status=response.status,
        ms=millis(loop.time() - began),
        manifest=call.manifest_version,
    )
    return response


async def relay(
    gateway: Gateway, request: web.BaseRequest, call: Call
) -> web.StreamResponse:
    """Pass a request on by the kind of its route."""
    if call.route.kind is RouteKind.STREAMING:
        return await relay_stream(gateway, request, call)
    return await relay_call(gateway, call)


def millis(seconds: float) -> float:
    """Return a time in ms for a log line."""
    return round(seconds * 1000, 1)


@attrs.frozen
class CallerListener:
    """
    What callers are connected to.

    Attributes
    ----------
    socket : asyncio.Server
        Accepts connections.
    server : aiohttp.web.Server
        Knows the open connections.
    """

    socket: asyncio.Server
    server: web.Server

    def stop(self) -> None:
        """Accept no more connections, and end those that are open when idle."""
        self.socket.close()
        for connection in list(self.server.connections):
            if isinstance(connection, CallerConnection):
                connection.end()

    async def close_idle_ones(self, gateway: Gateway) -> None:
        """Close connections that idle for too long, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(IDLE_INTERVAL)
            close_idle(gateway, self.server, loop.time())


@asynccontextmanager
async def open_caller_listener(gateway: Gateway) -> AsyncIterator[CallerListener]:
    """
    Listen for callers.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """
    server = web.Server(
        make_caller_handler(gateway),
        handler_cancellation=True,
        request_factory=make_request_factory(gateway),
    )
    host, _, port = gateway.settings.callers.rpartition(":")
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(
        lambda: CallerConnection(server), host, int(port), backlog=BACKLOG
    )
    opened = CallerListener(listener, server)
    try:
        async with running_tasks(opened.close_idle_ones(gateway)):
            yield opened
    finally:
        listener.close()
        await server.shutdown(timeout=CLOSE_TIMEOUT)


@asynccontextmanager
async def open_ready_listener(gateway: Gateway) -> AsyncIterator[None]:
    """
    Answer the balancer's checks.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if gateway.ready else 503)

    server = web.Server(handle, access_log=None)
    host, _, port = gateway.settings.ready.rpartition(":")
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server, host, int(port))
    try:
        yield
    finally:
        listener.close()
        await server.shutdown(timeout=CLOSE_TIMEOUT)
