"""Bytes that have arrived and were not read."""

import asyncio
import select


def has_unread_bytes(transport: asyncio.BaseTransport) -> bool:
    """
    Return whether bytes or the end of a connection have arrived and were not read.

    The event loop reads them in its next iteration.  The result is False for a
    connection that is closed, and for one in memory, which has no descriptor.
    """
    sock = transport.get_extra_info("socket")
    descriptor = -1 if sock is None else sock.fileno()
    if not isinstance(descriptor, int) or descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
