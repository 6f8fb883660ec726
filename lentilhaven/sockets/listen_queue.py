"""Connections that wait to be accepted."""

import asyncio
import socket
import struct

#: Offset of ``tcpi_unacked`` in ``struct tcp_info``, in bytes, and its size.  For a
#: listening socket it is the number of connections that wait to be accepted.
WAITING_OFFSET, WAITING_SIZE = 24, 4


def count_waiting(server: asyncio.Server) -> int | None:
    """
    Return the number of connections that wait to be accepted by a server.

    Returns
    -------
    int or None
        None if the system does not tell.

    References
    ----------
    Linux, ``include/uapi/linux/tcp.h``, ``struct tcp_info``.
    """
    size = WAITING_OFFSET + WAITING_SIZE
    try:
        infos = [
            it.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
            for it in server.sockets
        ]
    except (AttributeError, OSError):
        return None
    if any(len(info) < size for info in infos):
        return None
    return sum(struct.unpack_from("=I", info, WAITING_OFFSET)[0] for info in infos)
