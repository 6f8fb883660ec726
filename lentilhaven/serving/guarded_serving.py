"""Serving of an application under limits, with TLS if it is set."""

import asyncio
import ssl
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.invariants import ensure
from lentilhaven.core.step import Step
from lentilhaven.serving.guarded_connection import GuardedConnection
from lentilhaven.serving.server_limits import ServerLimits

#: Connections that the system holds until they are accepted.
BACKLOG = 512

#: Seconds that handlers get to end once the listener closes.
CLOSE_TIMEOUT = 0.1


@asynccontextmanager
async def serve_guarded(
    app: web.Application,
    host: str,
    port: int,
    limits: ServerLimits | None = None,
    tls: ssl.SSLContext | None = None,
) -> AsyncIterator[str]:
    """
    Serve an application under limits and yield its base URL.

    Parameters
    ----------
    app : aiohttp.web.Application
        What to serve.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 takes a free one.
    limits : ServerLimits or None
        The limits; None takes the defaults.
    tls : ssl.SSLContext or None
        Certificate and key; None serves plain HTTP.

    Raises
    ------
    FailureError
        If the address can't be listened on.
    """
    chosen = limits or ServerLimits()
    loop = asyncio.get_running_loop()
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=CLOSE_TIMEOUT)
    await runner.setup()
    server = runner.server
    ensure(server is not None, "server-is-set-up")

    def connect() -> GuardedConnection:
        return GuardedConnection(server, chosen, loop)  # type: ignore[arg-type]

    try:
        try:
            listener = await loop.create_server(
                connect, host, port, ssl=tls, backlog=BACKLOG
            )
        except (OSError, OverflowError) as error:
            raise FailureError(unusable_address(host, port, error)) from error
        try:
            bound = listener.sockets[0].getsockname()[1]
            name = f"[{host}]" if ":" in host else host
            yield f"{'https' if tls else 'http'}://{name}:{bound}"
        finally:
            listener.close()
    finally:
        await runner.cleanup()


def unusable_address(host: str, port: int, error: Exception) -> Failure:
    """Return the failure of an address that can't be listened on."""
    detail = f"can't listen on {host}:{port}: {error}"
    return Failure(Step.SETTINGS, "", "address-unavailable", detail)
