"""What the kernel holds for a socket: connections that wait, and unread bytes."""

from lentilhaven.sockets.listen_queue import close_listener
from lentilhaven.sockets.receive_buffer import has_unread_bytes

__all__ = ["close_listener", "has_unread_bytes"]
