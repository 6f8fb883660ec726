"""What the kernel holds for a socket: connections that wait, and unread bytes."""

from lentilhaven.sockets.listen_queue import count_waiting
from lentilhaven.sockets.receive_buffer import has_unread_bytes

__all__ = ["count_waiting", "has_unread_bytes"]
