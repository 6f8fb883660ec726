"""HTTP server for an application that enforces limits, with optional TLS."""

import asyncio
import contextlib
import socket
import ssl
from collections import Counter
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from aiohttp import web

from lentilhaven.callers import ConnectionShare
from lentilhaven.callers.accept_batches import listen_in_batches
from lentilhaven.callers.connection_memory import ConnectionMemory
from lentilhaven.callers.handshakes import running_handshakes
from lentilhaven.callers.open_connections import OpenConnections
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.invariants import ensure
from lentilhaven.core.step import Step
from lentilhaven.serving.guarded_connection import GuardedConnection, announce_end
from lentilhaven.serving.server_limits import ServerLimits
from lentilhaven.sockets import close_listener

#: Length of the operating system's queue of connections to accept.
BACKLOG = 512

#: Time that handlers have to finish after the listener is closed, in seconds.
CLOSE_TIMEOUT = 0.1

#: Time in which the event loop reads the requests of connections that waited to be
#: accepted, in seconds.
READ_TIME = 0.02


@asynccontextmanager
async def serve_with_limits(
    app: web.Application,
    host: str,
    port: int,
    limits: ServerLimits | None = None,
    tls: ssl.SSLContext | None = None,
    dropped: Counter[str] | None = None,
) -> AsyncIterator[str]:
    """
    Serve an application within limits and yield its base URL.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application to serve.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free one.
    limits : ServerLimits or None
        The limits of the listener; None selects the defaults.
    tls : ssl.SSLContext or None
        TLS context with certificate and key; None serves plain HTTP.
    dropped : Counter or None
        Takes the numbers of clients that were refused or closed, by cause.

    Raises
    ------
    FailureError
        If the server can't listen on the address.
    """
    effective_limits = limits or ServerLimits()
    app.on_response_prepare.append(announce_end)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=CLOSE_TIMEOUT)
    await runner.setup()
    server = runner.server
    ensure(server is not None, "server-is-set-up")

    memory = ConnectionMemory(effective_limits.max_held_bytes)
    counters = Counter() if dropped is None else dropped
    share = ConnectionShare(memory, counters=counters)
    opened = OpenConnections(effective_limits.max_connections)

    def make_connection() -> GuardedConnection:
        return GuardedConnection(server, effective_limits, share, opened)  # type: ignore[arg-type]

    accept: Callable[[], asyncio.BaseProtocol] = make_connection
    handshakes = contextlib.ExitStack()
    if tls is not None:
        timeout = effective_limits.head_timeout
        accept = handshakes.enter_context(
            running_handshakes(tls, timeout, share, make_connection)
        )
    try:
        try:
            listener = await listen_in_batches(accept, host, port, BACKLOG)
        except (OSError, OverflowError) as error:
            raise FailureError(unusable_address(host, port, error)) from error
        try:
            bound_port = listener.sockets[0].getsockname()[1]
            url_host = f"[{host}]" if ":" in host else host
            yield f"{'https' if tls else 'http'}://{url_host}:{bound_port}"
        finally:
            waiting = await close_listener(listener)
            await serve_waiting(make_connection, waiting, tls)
    finally:
        handshakes.close()
        await runner.cleanup()


async def serve_waiting(
    make_connection: Callable[[], GuardedConnection],
    waiting: list[socket.socket],
    tls: ssl.SSLContext | None,
) -> None:
    """
    Let the event loop read the requests of connections that waited to be accepted.

    They are set up at the same time: with TLS, one of them may be silent or fail.

    Parameters
    ----------
    make_connection : callable
        Returns the protocol of a new connection.
    waiting : list of socket.socket
        The connections.
    tls : ssl.SSLContext or None
        TLS context of the listener; None for plain HTTP.
    """
    if not waiting:
        return
    loop = asyncio.get_running_loop()
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(CLOSE_TIMEOUT):
            await asyncio.gather(
                *(
                    loop.connect_accepted_socket(make_connection, connection, ssl=tls)
                    for connection in waiting
                ),
                return_exceptions=True,
            )
            await asyncio.sleep(READ_TIME)


def unusable_address(host: str, port: int, error: Exception) -> Failure:
    """Return the failure for an address on which the server can't listen."""
    detail = f"can't listen on {host}:{port}: {error}"
    return Failure(Step.SETTINGS, "", "address-unavailable", detail)
