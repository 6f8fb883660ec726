"""
Entries of a store that was restored from a copy.

The copy lacks what was written after it was taken: it may miss live replicas, show an
older state of others, and list replicas that are gone.  Live replicas write their
entries again within about two seconds.  Until then, what a process knew before the
restore says more than the copy.
"""

import attrs

from lentilhaven.fleet.endpoint import Endpoint

#: Seconds after the store's return within which live replicas have registered again.
REREGISTRATION_TIME = 2.0

#: Seconds after a restore for which an entry that contradicts earlier knowledge is
#: ignored unless it was written since; three heartbeats, after which the store removes
#: the entry of a silent replica.
DOUBT_TIME = 5.0

#: Seconds for which removed endpoints are remembered; longer than a copy is old.
REMOVAL_MEMORY = 60.0


@attrs.define
class RestoredEntries:
    """
    Decides which entries to believe after the store was restored.

    Attributes
    ----------
    began : float
        Monotonic time at which the last restore was noticed, in seconds.
    unconfirmed : set of str
        Ids of endpoints that the copy lacks and that have not registered since.
    doubted : dict
        Entries that the copy lists for removed replicas, as first read, by id.
    removed : dict
        Removed endpoints by id, each with the monotonic time of its removal, in
        seconds.
    """

    began: float = -DOUBT_TIME
    unconfirmed: set[str] = attrs.field(factory=set)
    doubted: dict[str, Endpoint] = attrs.field(factory=dict)
    removed: dict[str, tuple[Endpoint, float]] = attrs.field(factory=dict)

    def note_removed(self, endpoint: Endpoint, now: float) -> None:
        """Remember a removed endpoint."""
        self.removed[endpoint.id] = (endpoint, now)

    def note_written(self, name: str) -> None:
        """Record that an entry was written after the restore."""
        self.unconfirmed.discard(name)
        self.doubted.pop(name, None)
        self.removed.pop(name, None)

    def begin(self, known: dict[str, Endpoint], found: set[str], now: float) -> None:
        """
        Record that a listing is the first one after a restore.

        Parameters
        ----------
        known : dict
            `Endpoint` by id, as known before.
        found : set of str
            Ids in the listing.
        now : float
            Monotonic time, in seconds.
        """
        self.began = now
        self.doubted.clear()
        self.unconfirmed = {
            name
            for name, endpoint in known.items()
            if name not in found and not endpoint.draining
        }

    def reconcile(
        self, known: dict[str, Endpoint], found: dict[str, Endpoint], now: float
    ) -> dict[str, Endpoint]:
        """
        Return the endpoints to believe in after a listing.

        Parameters
        ----------
        known : dict
            `Endpoint` by id, as known before.
        found : dict
            `Endpoint` by id, as listed.
        now : float
            Monotonic time, in seconds.
        """
        self.unconfirmed -= found.keys()
        if now - self.began >= DOUBT_TIME:
            self.doubted.clear()
            believed = dict(found)
        else:
            believed = {
                name: newer_entry(known.get(name), entry)
                for name, entry in found.items()
                if name in known or self.is_alive(entry, now)
            }
        if now - self.began < REREGISTRATION_TIME:
            believed |= {
                name: known[name] for name in self.unconfirmed if name in known
            }
        return believed

    def is_alive(self, entry: Endpoint, now: float) -> bool:
        """Return whether an entry shows more than that its replica once existed."""
        endpoint, removed_at = self.removed.get(entry.id, (None, 0.0))
        if endpoint is None or now - removed_at > REMOVAL_MEMORY:
            return True
        if entry.born > endpoint.born:
            return True
        first = self.doubted.setdefault(entry.id, entry)
        return entry.written_order > first.written_order or entry != first

    def expire(self, now: float) -> set[str]:
        """Return the ids of endpoints that did not register again, and forget them."""
        for name, (_, removed_at) in list(self.removed.items()):
            if now - removed_at > REMOVAL_MEMORY:
                del self.removed[name]
        if now - self.began < REREGISTRATION_TIME:
            return set()
        expired, self.unconfirmed = self.unconfirmed, set()
        return expired


def newer_entry(known: Endpoint | None, listed: Endpoint) -> Endpoint:
    """Return the later one of two entries of a replica."""
    if known is not None and listed.written_order < known.written_order:
        return known
    return listed
