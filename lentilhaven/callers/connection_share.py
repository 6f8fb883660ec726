"""What the connections of one process share."""

from collections import Counter
from typing import Protocol

import attrs

from lentilhaven.callers.connection_memory import (
    ConnectionMemory,
    Holder,
    connection_memory_limit,
)
from lentilhaven.callers.drop_cause import DropCause
from lentilhaven.callers.read_turns import ReadTurns
from lentilhaven.callers.running_requests import RunningRequests, max_running_requests
from lentilhaven.core.logs import get_logger

#: Bytes that are read from a connection at a time.  asyncio reads 256 KiB, of which
#: each connection could then hold what follows a request.
READ_BYTES = 16_384

#: Part of the process's descriptors for callers' connections.
DESCRIPTOR_SHARE = 0.5

#: Descriptors of a process for which none are stated.
DEFAULT_DESCRIPTORS = 4096

#: Part of the VM's memory for open connections, and bytes that one takes when idle.
IDLE_MEMORY_SHARE, IDLE_BYTES = 0.25, 16_384

#: Prefix of the counters of dropped connections.
COUNTER_PREFIX = "client dropped: "

log = get_logger("callers")


class Droppable(Holder, Protocol):
    """A connection that may be closed while it is idle."""

    def may_be_dropped(self) -> bool:
        """Return whether nothing is under way on the connection."""


@attrs.define(eq=False)
class ConnectionShare:
    """
    Limits and state that connections share.

    Attributes
    ----------
    memory : ConnectionMemory
        Bytes that all connections hold.
    turns : ReadTurns
        Turns of connections that cost much time.
    counters : Counter
        Numbers of dropped connections by cause.
    descriptors : int
        Maximum number of descriptors of the process.
    running : RunningRequests
        Requests that the process runs.
    buffer : memoryview
        Buffer into which all connections are read, one after another.
    """

    memory: ConnectionMemory = attrs.field(factory=ConnectionMemory)
    turns: ReadTurns = attrs.field(factory=ReadTurns)
    counters: Counter[str] = attrs.field(factory=Counter)
    descriptors: int = DEFAULT_DESCRIPTORS
    running: RunningRequests = attrs.field()
    buffer: memoryview = attrs.field(
        factory=lambda: memoryview(bytearray(READ_BYTES)), repr=False
    )

    @running.default
    def no_requests(self) -> RunningRequests:
        """Return a count without requests."""
        return RunningRequests(max_running_requests(self.descriptors))

    def note_drop(self, cause: DropCause) -> None:
        """Count and log that a connection is dropped; the log limits its lines."""
        self.counters[f"{COUNTER_PREFIX}{cause.value}"] += 1
        log.info("client dropped", cause=cause.value, held=self.memory.held)


def make_share(
    vm_memory: int, descriptors: int, counters: Counter[str]
) -> ConnectionShare:
    """
    Return the share of a process.

    Parameters
    ----------
    vm_memory : int
        Bytes of memory of the VM; 0 if unknown.
    descriptors : int
        Maximum number of descriptors of the process.
    counters : Counter
        Takes the numbers of dropped connections.
    """
    memory = ConnectionMemory(connection_memory_limit(vm_memory))
    return ConnectionShare(memory, counters=counters, descriptors=descriptors)


def max_caller_connections(descriptors: int, vm_memory: int) -> int:
    """
    Return how many connections a process keeps open for callers.

    Parameters
    ----------
    descriptors : int
        Maximum number of descriptors of the process.
    vm_memory : int
        Bytes of memory of the VM; 0 if unknown.

    Examples
    --------
    >>> max_caller_connections(4100, 200_000_000)
    2050
    >>> max_caller_connections(400, 0)
    200
    """
    count = int(descriptors * DESCRIPTOR_SHARE)
    if vm_memory:
        count = min(count, int(vm_memory * IDLE_MEMORY_SHARE / IDLE_BYTES))
    return max(1, count)
