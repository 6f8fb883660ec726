"""The open connections of a listener, and the limit of their number."""

import attrs

from lentilhaven.callers.connection_share import Droppable, max_caller_connections
from lentilhaven.callers.drop_cause import DropCause


@attrs.define(eq=False)
class OpenConnections:
    """
    Open connections in the order of their last use.

    Attributes
    ----------
    limit : int
        Maximum number of open connections.
    by_use : dict
        The connections as keys, the one that has been unused for longest first.
    """

    limit: int
    by_use: dict[Droppable, None] = attrs.field(factory=dict)

    def admit(self, connection: Droppable) -> bool:
        """
        Add a new connection; return False if there is no place for it.

        If too many are open, the idle one that has been unused for longest is dropped.
        """
        if len(self.by_use) >= self.limit:
            unused = next((it for it in self.by_use if it.may_be_dropped()), None)
            if unused is None:
                return False
            self.remove(unused)
            unused.drop(DropCause.CONNECTIONS)
        self.by_use[connection] = None
        return True

    def note_use(self, connection: Droppable) -> None:
        """Move a connection to the end of the order."""
        if connection in self.by_use:
            del self.by_use[connection]
            self.by_use[connection] = None

    def remove(self, connection: Droppable) -> None:
        """Remove a connection; it may have been removed before."""
        self.by_use.pop(connection, None)


def callers_of_process(descriptors: int, vm_memory: int) -> OpenConnections:
    """Return the open connections of callers, within `max_caller_connections`."""
    return OpenConnections(max_caller_connections(descriptors, vm_memory))
