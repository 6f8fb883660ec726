"""The gateway's listeners for callers and for readiness checks."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import attrs
from aiohttp import web

from lentilhaven.answers.error_responses import make_error_response
from lentilhaven.callers.accept_batches import listen_in_batches
from lentilhaven.callers.drop_cause import DropCause
from lentilhaven.callers.open_connections import callers_of_process
from lentilhaven.callers.plain_listener import open_plain_listener
from lentilhaven.core.failure import Failure
from lentilhaven.core.logs import describe_exception, get_logger
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.core.tasks import running_tasks
from lentilhaven.fleet.route_rule import RouteKind
from lentilhaven.gateway.body_memory import HeldBody
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.caller_connection import (
    CallerConnection,
    close_idle_connections,
    current_limits,
)
from lentilhaven.gateway.caller_request import make_request_factory
from lentilhaven.gateway.crash_checks import refuse_harmful
from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.gateway_metrics import record_request
from lentilhaven.gateway.intake import read_call
from lentilhaven.gateway.service_relay import relay_call
from lentilhaven.gateway.stream_relay import relay_stream
from lentilhaven.platform.request_head import decode_request_head
from lentilhaven.sockets import close_listener

#: Maximum number of connections waiting to be accepted; enough for a burst of callers
#: that connect to one VM.
BACKLOG = 1024

#: Seconds between two checks for idle connections.
IDLE_CHECK_INTERVAL = 1.0

#: Seconds between two checks for connections to close when the process shuts down.
CLOSE_INTERVAL = 0.05

#: Seconds for handlers to finish when the process shuts down; requests have been
#: drained by then.  Zero would mean no limit.
CLOSE_TIMEOUT = 0.1

Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]

log = get_logger("gateway")


def make_caller_handler(gateway: Gateway) -> Handler:
    """
    Return the handler for callers' requests.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        gateway.active += 1
        try:
            with gateway.body_memory.holding() as held:
                response = await handle_request(gateway, request, held)
        finally:
            gateway.active -= 1
            gateway.request_finished.notify()
        return response

    return handle


async def handle_request(
    gateway: Gateway, request: web.BaseRequest, held: HeldBody
) -> web.StreamResponse:
    """Handle one request and log its result."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    try:
        parsed = await read_call(gateway, request, held)
    except asyncio.CancelledError:
        log_cancelled(gateway, decode_request_head(request.headers).request_id, began)
        raise
    read_at = loop.time()
    if parsed.is_error():
        failure = parsed.error
        head = decode_request_head(request.headers)
        log.info(
            "request refused",
            request=head.request_id,
            step=failure.step.value,
            kind=failure.kind,
            manifest_position=str(gateway.view.manifest_position),
        )
        gateway.counters[f"refused: {failure.kind}"] += 1
        return make_error_response(failure)
    call: Call = parsed.ok
    try:
        response = await forward_call(gateway, request, call)
    except asyncio.CancelledError:
        log_cancelled(gateway, call.id, began, read_at)
        raise
    except Exception as error:
        location = describe_exception(error)
        log.error("request failed here", request=call.id, **location)
        detail = "the gateway failed"
        response = make_error_response(
            Failure(Step.INTERNAL, "", "defect", detail, Ran.UNKNOWN)
        )
    gateway.counters[f"answered: {response.status}"] += 1
    record_request(gateway, call, response.status, loop.time() - began)
    log.info(
        "request ended",
        request=call.id,
        route=call.route.name,
        service=call.service,
        kind=call.route.kind.value,
        workspace=call.workspace,
        status=response.status,
        ms=to_milliseconds(loop.time() - began),
        manifest=call.manifest_version,
    )
    return response


async def forward_call(
    gateway: Gateway, request: web.BaseRequest, call: Call
) -> web.StreamResponse:
    """Forward a request according to the kind of its route, unless it is harmful."""
    refusal = refuse_harmful(gateway, call)
    if refusal is not None:
        return make_error_response(refusal)
    with gateway.connections.running.entered() as has_place:
        if not has_place:
            gateway.connections.note_drop(DropCause.REQUESTS)
            detail = "too many requests are in progress"
            return make_error_response(Failure(Step.ADMIT, "", "overloaded", detail))
        if call.route.kind is RouteKind.STREAMING:
            return await relay_stream(gateway, request, call)
        return await relay_call(gateway, call)


def log_cancelled(
    gateway: Gateway, request_id: str, began: float, read_at: float | None = None
) -> None:
    """
    Log that the caller has left, or that the stop of the gateway has cut a request off.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    request_id : str
        Id of the request.
    began, read_at : float
        Event loop times at which its head and the end of its body had arrived, in
        seconds; `read_at` is None before the latter.
    """
    now = asyncio.get_running_loop().time()
    stop, is_read = gateway.stop, read_at is not None
    if stop is None or now < stop.end_at:
        log.info(
            "caller left",
            request=request_id,
            ms=to_milliseconds(now - began),
            read=is_read,
        )
        return
    log.warning(
        "request cut off",
        request=request_id,
        head_ms=to_milliseconds(began - stop.began),
        body_ms=None if read_at is None else to_milliseconds(read_at - stop.began),
    )


def to_milliseconds(seconds: float) -> float:
    """Convert seconds to milliseconds, rounded for a log line."""
    return round(seconds * 1000, 1)


@attrs.frozen
class CallerListener:
    """
    The listener for callers, with its open connections.

    Attributes
    ----------
    tcp_server : asyncio.Server
        Accepts connections.
    http_server : aiohttp.web.Server
        Keeps track of the open connections.
    make_connection : callable
        Returns the protocol of a new connection.
    """

    tcp_server: asyncio.Server
    http_server: web.Server
    make_connection: Callable[[], CallerConnection]

    async def stop(self) -> None:
        """Stop accepting connections; those that wait to be accepted are served."""
        loop = asyncio.get_running_loop()
        waiting = await close_listener(self.tcp_server)
        log.info(
            "listener closed",
            waiting=len(waiting),
            connections=len(self.http_server.connections),
        )
        for connection in waiting:
            await loop.connect_accepted_socket(self.make_connection, connection)

    async def close_connections(self, until: float) -> None:
        """
        Close each open connection once no request on it is left.

        Parameters
        ----------
        until : float
            Event loop time at which to give up, in seconds.
        """
        loop = asyncio.get_running_loop()
        while self.http_server.connections and loop.time() < until:
            for connection in list(self.http_server.connections):
                if isinstance(connection, CallerConnection):
                    connection.end(loop.time())
            await asyncio.sleep(CLOSE_INTERVAL)

    async def run_idle_check(self, gateway: Gateway) -> None:
        """Periodically close connections that have been idle for too long."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(IDLE_CHECK_INTERVAL)
            close_idle_connections(gateway, self.http_server, loop.time())


@asynccontextmanager
async def open_caller_listener(gateway: Gateway) -> AsyncIterator[CallerListener]:
    """
    Listen for callers' connections.

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

    settings = gateway.settings
    callers = callers_of_process(settings.open_files, settings.memory)

    def make_connection() -> CallerConnection:
        limits = current_limits(gateway)
        share, head_limit = gateway.connections, limits.header_bytes
        return CallerConnection(server, limits.idle_timeout, share, callers, head_limit)

    listener = await listen_in_batches(make_connection, host, int(port), BACKLOG)
    opened = CallerListener(listener, server, make_connection)
    try:
        async with running_tasks(opened.run_idle_check(gateway)):
            yield opened
    finally:
        listener.close()
        await server.shutdown(timeout=CLOSE_TIMEOUT)


@asynccontextmanager
async def open_ready_listener(gateway: Gateway) -> AsyncIterator[None]:
    """
    Answer the load balancer's readiness checks.

    Parameters
    ----------
    gateway : Gateway
        State of the process.
    """

    async def handle(request: web.BaseRequest) -> web.Response:
        return web.Response(status=200 if gateway.ready else 503)

    host, _, port = gateway.settings.ready.rpartition(":")
    async with open_plain_listener(handle, host, int(port), gateway.connections):
        yield
