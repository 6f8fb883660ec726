"""Listeners that accept a few connections at a time."""

import asyncio
import socket
from collections.abc import Callable
from typing import Any

#: Connections that are accepted in one iteration of the event loop.  asyncio accepts as
#: many as its backlog, all before the first one is counted or refused.
ACCEPT_BATCH = 16


async def listen_in_batches(
    make_connection: Callable[[], asyncio.BaseProtocol],
    host: str,
    port: int,
    backlog: int,
    **options: Any,
) -> asyncio.Server:
    """
    Return a server that accepts connections in small batches.

    Parameters
    ----------
    make_connection : callable
        Returns the protocol of a new connection.
    host, port : str, int
        Address to listen on.
    backlog : int
        Length of the operating system's queue of connections to accept.
    options
        Further arguments of the event loop's `create_server`.

    Raises
    ------
    OSError, OverflowError
        If the server can't listen on the address.
    """
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        make_connection, host, port, backlog=ACCEPT_BATCH, **options
    )
    for listening in server.sockets:
        lengthen_queue(listening, backlog)
    return server


def lengthen_queue(listening: socket.socket, backlog: int) -> None:
    """Lengthen the queue of a listening socket; one in memory has no limit."""
    if isinstance(listening.fileno(), int):
        with listening.dup() as duplicate:
            duplicate.listen(backlog)
