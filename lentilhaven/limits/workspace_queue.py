"""The new requests of one workspace with one priority."""

import attrs
from sortedcontainers import SortedKeyList

from lentilhaven.limits.queue_entry import QueueEntry, due_order


@attrs.define(eq=False)
class WorkspaceQueue:
    """
    The new requests of one workspace with one priority.

    Attributes
    ----------
    name : str
        Name of the workspace.
    start_tag : float
        Virtual time at which the next request starts.
    entries : SortedKeyList of QueueEntry
        The requests, earliest due first.
    cost : float
        Sum of their costs, in tokens.
    """

    name: str
    start_tag: float
    entries: SortedKeyList = attrs.field(factory=lambda: SortedKeyList(key=due_order))
    cost: float = 0.0

    @property
    def weight(self) -> float:
        """Return the weight of the workspace."""
        return self.entries[0].weight

    def sort_key(self) -> tuple[float, float, str]:
        """Return the position among the workspaces: start tag, then earliest due."""
        return self.start_tag, self.entries[0].due, self.name

    def end_key(self) -> tuple[float, str]:
        """Return the virtual time at which the last request ends, and the name."""
        return self.start_tag + self.cost / self.weight, self.name

    def cost_before(self, entry: QueueEntry) -> float:
        """Return the estimated tokens that are due before an entry."""
        rank = self.entries.bisect_key_left(due_order(entry))
        return self.cost * rank / len(self.entries)
