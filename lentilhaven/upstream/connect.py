"""Opening TCP connections."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

#: Opens a TCP connection, given a protocol factory, a host and a port; returns its
#: transport and protocol.
Connect = Callable[
    [Callable[[], asyncio.Protocol], str, int], Awaitable[tuple[Any, Any]]
]


async def connect_tcp(
    make_protocol: Callable[[], asyncio.Protocol], host: str, port: int
) -> tuple[Any, Any]:
    """
    Open a TCP connection.

    Parameters
    ----------
    make_protocol : callable
        Returns the protocol of the connection.
    host : str
        IP address to connect to.
    port : int
        Port to connect to.

    Raises
    ------
    OSError
        If the connection can't be made.
    """
    loop = asyncio.get_running_loop()
    return await loop.create_connection(make_protocol, host, port)
