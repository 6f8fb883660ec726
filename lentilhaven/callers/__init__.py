"""
Bounds on what clients that are not controlled take from a process.

Each connection holds a bounded number of bytes that nobody has consumed, all of them
together hold a share of the VM's memory, and parsing what one client sends takes a
bounded part of the event loop's time.  The listeners of all programs use it.
"""

from lentilhaven.callers.bounded_connection import BoundedConnection
from lentilhaven.callers.connection_share import ConnectionShare
from lentilhaven.callers.drop_cause import DropCause
from lentilhaven.callers.open_connections import OpenConnections

__all__ = ["BoundedConnection", "ConnectionShare", "DropCause", "OpenConnections"]
