"""The state of the platform's store."""

import asyncio
import enum
from collections import Counter
from typing import Any

import attrs

from lentilhaven.core.signal import Signal


class StoreState(enum.Enum):
    """How the store answers."""

    UP = "up"
    BUSY = "busy"
    SILENT = "silent"


@attrs.define
class Stored:
    """An object of the store."""

    name: str
    revision: int
    value: Any


@attrs.frozen
class Change:
    """An entry of the history."""

    revision: int
    kind: str
    name: str
    value: Any
    deleted: bool


@attrs.define
class FakeStore:
    """
    Objects by kind, with a history for watches.

    Attributes
    ----------
    kinds : dict
        `Stored` by kind and name.
    revision : int
        Raised by each change.
    history : list of Change
        What watches see.
    state : StoreState
        How it answers; `refused` callers are answered as if it were busy.
    refused : set of str
        Names of gateways that are turned away.
    deaf_watches : bool
        Watches are never answered.
    lost_writes : int
        Writes that will be done but not answered.
    page : int
        Objects on a page of a listing.
    calls : Counter
        Calls by what was asked.
    callers : Counter
        Calls by the name of the gateway.
    changed : Signal
        Wakes watches.
    """

    kinds: dict[str, dict[str, Stored]] = attrs.field(factory=dict)
    revision: int = 1
    history: list[Change] = attrs.field(factory=list)
    state: StoreState = StoreState.UP
    refused: set[str] = attrs.field(factory=set)
    deaf_watches: bool = False
    lost_writes: int = 0
    page: int = 500
    calls: Counter[str] = attrs.field(factory=Counter)
    callers: Counter[str] = attrs.field(factory=Counter)
    changed: Signal = attrs.field(factory=Signal)

    def put(self, kind: str, name: str, value: Any) -> Stored:
        """Write an object; one that does not change keeps its revision."""
        held = self.kinds.setdefault(kind, {}).get(name)
        if held is not None and held.value == value:
            return held
        self.revision += 1
        stored = Stored(name, self.revision, value)
        self.kinds[kind][name] = stored
        self.note(Change(self.revision, kind, name, value, False))
        return stored

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        held = self.kinds.get(kind, {}).pop(name, None)
        if held is not None:
            self.revision += 1
            self.note(Change(self.revision, kind, name, held.value, True))

    def note(self, change: Change) -> None:
        """Add a change to the history."""
        self.history.append(change)
        self.changed.notify()

    def compact(self) -> None:
        """Forget the history."""
        self.history.clear()
        self.history.append(Change(self.revision, "", "", None, True))

    def since(self, kind: str, revision: int) -> list[Change] | None:
        """Return the changes of a kind; None if this history is gone."""
        if self.history and self.history[0].revision > revision + 1:
            return None
        return [it for it in self.history if it.kind == kind and it.revision > revision]

    async def wait(
        self, kind: str, revision: int, seconds: float
    ) -> list[Change] | None:
        """Wait for changes of a kind."""
        if self.deaf_watches:
            await asyncio.sleep(3600.0)
        await self.changed.wait_until(lambda: bool(self.since(kind, revision)), seconds)
        return self.since(kind, revision)
