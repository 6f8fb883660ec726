"""Recent endpoint changes, for peers that missed some of them."""

from collections import deque

import attrs

from lentilhaven.core.store_position import StorePosition
from lentilhaven.fleet.endpoint import Endpoint

#: Seconds for which a change is kept, long enough to cover several lost datagrams.
RETENTION = 2.0


@attrs.frozen
class EndpointChanges:
    """
    Endpoint changes between two positions of the store, in the same era.

    Attributes
    ----------
    since, until : StorePosition
        Position before the changes, and position that includes them.
    changed : tuple of Endpoint
        New and changed endpoints.
    gone : tuple of str
        Ids of removed endpoints.
    """

    since: StorePosition
    until: StorePosition
    changed: tuple[Endpoint, ...] = ()
    gone: tuple[str, ...] = ()


@attrs.define
class EndpointHistory:
    """
    Endpoint changes of the last `RETENTION` seconds.

    Attributes
    ----------
    entries : deque of (float, EndpointChanges)
        Consecutive changes, each with the monotonic time at which it was recorded,
        in seconds.

    Examples
    --------
    >>> history = EndpointHistory()
    >>> one = Endpoint("a", "s", "10.0.0.1:80", "z")
    >>> at = [StorePosition(0, revision) for revision in range(7)]
    >>> history.add(EndpointChanges(at[3], at[5], (one,)), now=0.0)
    >>> history.add(EndpointChanges(at[5], at[6], (), ("a",)), now=1.0)
    >>> changes = history.recent_changes(now=1.0)
    >>> str(changes.since), str(changes.until), changes.changed, changes.gone
    ('0/3', '0/6', (), ('a',))
    >>> history.recent_changes(now=9.0)
    """

    entries: deque[tuple[float, EndpointChanges]] = attrs.field(factory=deque)

    def add(self, changes: EndpointChanges, now: float) -> None:
        """
        Append changes; a gap in the positions discards the earlier ones.

        So does a new era: a gateway that missed a part of the earlier one must fetch
        all endpoints.
        """
        if self.entries and self.entries[-1][1].until != changes.since:
            self.entries.clear()
        if changes.since.era != changes.until.era:
            self.entries.clear()
            return
        self.entries.append((now, changes))

    def recent_changes(self, now: float) -> EndpointChanges | None:
        """Return the retained changes merged into one, or None if there are none."""
        while self.entries and now - self.entries[0][0] > RETENTION:
            self.entries.popleft()
        if not self.entries:
            return None
        latest_by_id: dict[str, Endpoint | None] = {}
        for _, changes in self.entries:
            latest_by_id.update({it.id: it for it in changes.changed})
            latest_by_id.update(dict.fromkeys(changes.gone))
        return EndpointChanges(
            self.entries[0][1].since,
            self.entries[-1][1].until,
            tuple(it for it in latest_by_id.values() if it is not None),
            tuple(name for name, it in latest_by_id.items() if it is None),
        )
