"""State of the platform's store."""

import asyncio
import copy
import enum
from collections import Counter
from typing import Any

import attrs

from lentilhaven.core.signal import Signal


class StoreState(enum.Enum):
    """Whether the store responds normally, refuses calls or never responds."""

    UP = "up"
    BUSY = "busy"
    SILENT = "silent"


@attrs.define
class StoreEntry:
    """
    An object in the store.

    Attributes
    ----------
    name : str
        Name of the object, unique within its kind.
    revision : int
        Revision of the store at the last change of the object.
    value : Any
        JSON value of the object.
    """

    name: str
    revision: int
    value: Any


@attrs.frozen
class Change:
    """
    An entry in the history of writes and deletions.

    Attributes
    ----------
    revision : int
        Revision of the store after the change.
    kind, name : str
        Kind and name of the changed object.
    value : Any
        Value that was written, or last value of a deleted object.
    deleted : bool
        Whether the object was deleted.
    """

    revision: int
    kind: str
    name: str
    value: Any
    deleted: bool


@attrs.frozen
class StoreCopy:
    """
    A copy of the content of a store.

    Attributes
    ----------
    kinds : dict
        For each kind, `StoreEntry` by name.
    revision : int
        Revision of the store at the time of the copy.
    history : list of Change
        Changes that watches returned at that time.
    """

    kinds: dict[str, dict[str, StoreEntry]]
    revision: int
    history: list[Change]


@attrs.define
class FakeStore:
    """
    Objects by kind, with a change history for watches.

    Attributes
    ----------
    kinds : dict
        For each kind, `StoreEntry` by name.
    revision : int
        Number that increases with each change.
    era : int
        Number of times that the store was restored from a copy, which every answer
        names.
    history : list of Change
        Changes that watches return, oldest first.
    state : StoreState
        How the store responds to all gateways.
    refused_callers : set of str
        Names of gateways whose calls are refused as by a busy store.
    unresponsive_watches : bool
        Whether watches never respond.
    unanswered_writes : int
        Number of coming writes that take effect but get no response.
    page_size : int
        Maximum number of objects per page of a listing.
    calls : Counter
        Number of calls by HTTP method.
    callers : Counter
        Number of calls by name of the calling gateway.
    changed : Signal
        Signal that wakes watches after a change.
    """

    kinds: dict[str, dict[str, StoreEntry]] = attrs.field(factory=dict)
    revision: int = 1
    era: int = 0
    history: list[Change] = attrs.field(factory=list)
    state: StoreState = StoreState.UP
    refused_callers: set[str] = attrs.field(factory=set)
    unresponsive_watches: bool = False
    unanswered_writes: int = 0
    page_size: int = 500
    calls: Counter[str] = attrs.field(factory=Counter)
    callers: Counter[str] = attrs.field(factory=Counter)
    changed: Signal = attrs.field(factory=Signal)

    def put(self, kind: str, name: str, value: Any) -> StoreEntry:
        """Write an object and return it; an unchanged value keeps its revision."""
        existing = self.kinds.setdefault(kind, {}).get(name)
        if existing is not None and existing.value == value:
            return existing
        self.revision += 1
        stored = StoreEntry(name, self.revision, value)
        self.kinds[kind][name] = stored
        self.record_change(Change(self.revision, kind, name, value, False))
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Delete an object if it exists."""
        existing = self.kinds.get(kind, {}).pop(name, None)
        if existing is not None:
            self.revision += 1
            self.record_change(Change(self.revision, kind, name, existing.value, True))

    def record_change(self, change: Change) -> None:
        """Append a change to the history and wake watches."""
        self.history.append(change)
        self.changed.notify()

    def make_copy(self) -> StoreCopy:
        """Return a copy of the content, to be restored later."""
        kinds = copy.deepcopy(self.kinds)
        return StoreCopy(kinds, self.revision, list(self.history))

    def restore(self, earlier: StoreCopy) -> None:
        """Lose all that was written since a copy, and begin a new era."""
        self.kinds = copy.deepcopy(earlier.kinds)
        self.revision = earlier.revision
        self.history = list(earlier.history)
        self.era += 1
        self.changed.notify()

    def compact(self) -> None:
        """Discard the history, so that older watches fail."""
        # The new entry, of no kind, marks the revision at which the history now begins.
        self.history.clear()
        self.history.append(Change(self.revision, "", "", None, True))

    def changes_since(self, kind: str, revision: int) -> list[Change] | None:
        """
        Return the changes of a kind after a revision.

        Returns None if some are discarded, or if the store does not have the revision.
        """
        if revision > self.revision:
            return None
        if self.history and self.history[0].revision > revision + 1:
            return None
        return [it for it in self.history if it.kind == kind and it.revision > revision]

    async def wait_for_changes(
        self, kind: str, revision: int, seconds: float
    ) -> list[Change] | None:
        """
        Wait for changes of a kind after a revision and return them.

        Returns an empty list if there are none, and None if some are discarded, in both
        cases after the whole time.  If the store does not have the revision, or is
        restored meanwhile, returns None at once.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        revision : int
            Revision that the caller has already read.
        seconds : float
            Maximum time to wait, in seconds of the event loop.
        """
        if self.unresponsive_watches:
            await asyncio.sleep(3600.0)
        era = self.era
        await self.changed.wait_until(
            lambda: (
                bool(self.changes_since(kind, revision))
                or self.era != era
                or revision > self.revision
            ),
            seconds,
        )
        if self.era != era:
            return None
        return self.changes_since(kind, revision)
