"""Listeners for checks, scrapes and other processes of the system, within bounds."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from aiohttp import web

from lentilhaven.callers.accept_batches import listen_in_batches
from lentilhaven.callers.bounded_connection import BoundedConnection
from lentilhaven.callers.connection_share import ConnectionShare
from lentilhaven.callers.open_connections import OpenConnections

#: Connections that such a listener keeps open, and the part of the process's
#: descriptors that it may take: enough for the checks, scrapes and questions of a large
#: fleet, each of which takes milliseconds.
MAX_CONNECTIONS, DESCRIPTOR_SHARE = 256, 1 / 16

#: Length of the operating system's queue of connections to accept.
BACKLOG = 100

#: Maximum size of a request's head, in bytes.
HEAD_LIMIT = 16_384

#: Seconds for a response to finish when the process shuts down.
CLOSE_TIMEOUT = 0.1


@asynccontextmanager
async def open_plain_listener(
    handle: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    host: str,
    port: int,
    share: ConnectionShare,
) -> AsyncIterator[None]:
    """
    Serve requests until the context ends.

    Parameters
    ----------
    handle : callable
        Returns the response to a request.
    host, port : str, int
        Address to listen on.
    share : ConnectionShare
        What the connections of the process share.

    Raises
    ------
    OSError
        If the address can't be used.
    """
    server = web.Server(handle, access_log=None)
    places = int(share.descriptors * DESCRIPTOR_SHARE)
    opened = OpenConnections(max(1, min(MAX_CONNECTIONS, places)))

    def make_connection() -> BoundedConnection:
        return BoundedConnection(server, share, opened, HEAD_LIMIT)

    listener = await listen_in_batches(make_connection, host, port, BACKLOG)
    try:
        yield
    finally:
        listener.close()
        await server.shutdown(timeout=CLOSE_TIMEOUT)
