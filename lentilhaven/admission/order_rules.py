"""Which requests a manifest distinguishes, and how engines are told."""

from bisect import bisect_left

import attrs

from lentilhaven.fleet.manifest import Manifest
from lentilhaven.fleet.route_rule import RouteKind

#: Number of priorities in a header of an engine's request, from 0 to 9.
ENGINE_PRIORITIES = 10


@attrs.frozen
class OrderRules:
    """
    How the requests under one manifest are ordered.

    Attributes
    ----------
    is_ordered : bool
        Whether the manifest has differing priorities or several workspaces.  Otherwise
        requests are served in the order of their arrival.
    priorities : tuple of int
        The priorities of streams, the most urgent first.

    Examples
    --------
    >>> rules = OrderRules(True, (0, 1, 5))
    >>> [rules.engine_priority(it, continues=False) for it in (0, 1, 5)]
    [1, 3, 5]
    >>> rules.engine_priority(1, continues=True)
    2
    >>> OrderRules().engine_priority(1, continues=True)
    1
    """

    is_ordered: bool = False
    priorities: tuple[int, ...] = ()

    @classmethod
    def of(cls, manifest: Manifest | None) -> "OrderRules":
        """Return the rules of a manifest."""
        if manifest is None:
            return cls()
        workspaces = (manifest.workspaces or {}).values()
        own = {it.priority for it in workspaces if it.priority is not None}
        routes = manifest.routes.values()
        streams = own | {it.priority for it in routes if it.kind is RouteKind.STREAMING}
        names = {it.name for it in workspaces}
        is_ordered = len(own | {it.priority for it in routes}) > 1 or len(names) > 1
        return cls(is_ordered, tuple(sorted(streams)))

    def engine_priority(self, priority: int, continues: bool) -> int:
        """
        Return the priority of a run in the queues of engines.

        Each priority of the manifest gets two: the first is for streams that continue a
        broken answer.  If there are too many for that, and without an order, the
        priority itself is returned.
        """
        if not self.is_ordered or 2 * len(self.priorities) > ENGINE_PRIORITIES:
            return priority
        rank = bisect_left(self.priorities, priority)
        return min(ENGINE_PRIORITIES - 1, 2 * rank + (not continues))
