"""Recent endpoint changes, for peers that missed some of them."""

from collections import deque

import attrs

from lentilhaven.fleet.endpoint import Endpoint

#: Seconds for which a change is kept, long enough to cover several lost datagrams.
RETENTION = 2.0


@attrs.frozen
class EndpointChanges:
    """
    Endpoint changes between two revisions of the store.

    Attributes
    ----------
    since, until : int
        Revision before the changes, and revision that includes them.
    changed : tuple of Endpoint
        New and changed endpoints.
    gone : tuple of str
        Ids of removed endpoints.
    """

    since: int
    until: int
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
    >>> history.add(EndpointChanges(3, 5, (one,)), now=0.0)
    >>> history.add(EndpointChanges(5, 6, (), ("a",)), now=1.0)
    >>> history.recent_changes(now=1.0)
    EndpointChanges(since=3, until=6, changed=(), gone=('a',))
    >>> history.recent_changes(now=9.0)
    """

    entries: deque[tuple[float, EndpointChanges]] = attrs.field(factory=deque)

    def add(self, changes: EndpointChanges, now: float) -> None:
        """Append changes; a gap in the revisions discards the earlier ones."""
        if self.entries and self.entries[-1][1].until != changes.since:
            self.entries.clear()
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
