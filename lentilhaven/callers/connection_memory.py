"""Memory that all connections of a process hold together."""

from typing import Protocol

import attrs

from lentilhaven.callers.drop_cause import DropCause

#: Share of the VM's memory for bytes that connections hold.
MEMORY_SHARE = 0.125

#: Bytes that connections hold at most if the memory of the VM is not known.
DEFAULT_LIMIT = 32_000_000

#: Part of the limit that is held after connections were dropped, so that not each
#: further byte drops another one.
TARGET = 0.9


class Holder(Protocol):
    """A connection that holds bytes."""

    held: int

    def drop(self, cause: DropCause) -> None:
        """Close the connection at once."""


@attrs.define(eq=False)
class ConnectionMemory:
    """
    The bytes that all connections hold, and their limit.

    Attributes
    ----------
    limit : int
        Maximum number of bytes.
    held : int
        Number of bytes held now.
    holders : set of Holder
        The connections that hold any.
    """

    limit: int = DEFAULT_LIMIT
    held: int = 0
    holders: set[Holder] = attrs.field(factory=set)

    def resize(self, holder: Holder, size: int) -> None:
        """
        Change the number of bytes that a connection holds.

        Drops the connections that hold most while all together exceed the limit.
        """
        self.held += size - holder.held
        holder.held = size
        if size:
            self.holders.add(holder)
        else:
            self.holders.discard(holder)
        if self.held > self.limit:
            self.drop_largest()

    def drop_largest(self) -> None:
        """Drop the connections that hold most, until enough is free."""
        for holder in sorted(self.holders, key=lambda it: it.held, reverse=True):
            if self.held <= self.limit * TARGET:
                return
            self.held -= holder.held
            holder.held = 0
            self.holders.discard(holder)
            holder.drop(DropCause.MEMORY)


def connection_memory_limit(vm_memory: int) -> int:
    """
    Return the limit of `ConnectionMemory` for a VM's memory, both in bytes.

    Examples
    --------
    >>> connection_memory_limit(200_000_000)
    25000000
    >>> connection_memory_limit(0) == DEFAULT_LIMIT
    True
    """
    return int(vm_memory * MEMORY_SHARE) if vm_memory else DEFAULT_LIMIT
