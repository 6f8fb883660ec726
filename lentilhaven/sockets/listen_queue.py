"""Connections that wait to be accepted."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

#: Seconds after its last acceptance in which an event loop makes the transports of the
#: connections that it has accepted.
SETTLING_TIME = 0.01


async def close_listener(server: asyncio.Server) -> list[socket.socket]:
    """
    Close the listening sockets of a server without a loss of connections.

    The kernel resets connections that still wait to be accepted when their listening
    socket closes, and asyncio drops those that it has accepted shortly before, although
    their callers may have sent requests.

    Parameters
    ----------
    server : asyncio.Server
        Server that accepts connections.

    Returns
    -------
    list of socket.socket
        Connections that were waiting, for the caller to serve or to close.
    """
    loop = asyncio.get_running_loop()
    for listening in server.sockets:
        loop.remove_reader(listening.fileno())
    await asyncio.sleep(SETTLING_TIME)
    with contextlib.ExitStack() as stack:
        # The queue of a socket lasts until its last descriptor is closed.
        duplicates = [
            stack.enter_context(listening.dup())
            for listening in server.sockets
            if has_descriptor(listening)
        ]
        server.close()
        return [it for listening in duplicates for it in accept_waiting(listening)]


def has_descriptor(sock: socket.socket) -> bool:
    """Return whether a socket is one of the kernel, and not one in memory."""
    return isinstance(sock.fileno(), int)


def accept_waiting(listening: socket.socket) -> Iterator[socket.socket]:
    """Accept the connections that wait, without blocking."""
    while True:
        try:
            connection, _ = listening.accept()
        except ConnectionAbortedError:
            continue
        except OSError:
            # No connection waits, or no descriptor is left for it.
            return
        connection.setblocking(False)
        yield connection
