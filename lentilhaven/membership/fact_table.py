"""The newest fact of each writer, and their exchange by version vector."""

import enum
from typing import Any

import attrs
import xxhash

from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import VmId
from lentilhaven.core.invariants import ensure
from lentilhaven.membership.fact import Fact

#: Seconds after which a fact that is not stated again is forgotten.
FACT_LIFE = 30.0

#: Stamps by key: what a table already holds.
Vector = dict[str, list[int]]


class Topic(enum.Enum):
    """What facts are about."""

    SUSPECTS = "suspects"
    LEAVING = "leaving"
    LOAD = "load"
    SUMMARY = "summary"


class Scope(enum.Enum):
    """How far and how fast facts spread."""

    URGENT = "urgent"
    LOAD = "load"
    SUMMARY = "summary"


#: Urgent facts are pushed to all VMs, load stays in a data centre.
SCOPES = {
    Topic.SUSPECTS: Scope.URGENT,
    Topic.LEAVING: Scope.URGENT,
    Topic.LOAD: Scope.LOAD,
    Topic.SUMMARY: Scope.SUMMARY,
}


@attrs.define
class FactTable:
    """
    Facts that spread together.

    Attributes
    ----------
    clock : Clock
        Source of time.
    facts : dict
        `Fact` by key, with its age at `held_since`.
    held_since : dict
        Monotonic time at which each fact was received, by key.
    """

    clock: Clock
    facts: dict[str, Fact] = attrs.field(factory=dict)
    held_since: dict[str, float] = attrs.field(factory=dict)

    def merge(self, facts: list[Fact], transport: float = 0.0) -> list[Fact]:
        """
        Take over newer facts and return those that say something else than before.

        Parameters
        ----------
        facts : list of Fact
            From another VM.
        transport : float
            Most seconds that they were under way.
        """
        now = self.clock.monotonic()
        newer = []
        for fact in facts:
            held = self.facts.get(fact.key)
            age = fact.age + transport
            if (held and held.stamp >= fact.stamp) or age > FACT_LIFE:
                continue
            self.facts[fact.key] = attrs.evolve(fact, age=age)
            self.held_since[fact.key] = now
            if fact.value != (held.value if held else None):
                newer.append(fact)
        return newer

    def state(
        self, topic: Topic, writer: VmId, incarnation: int, value: Any
    ) -> Fact | None:
        """
        Replace this VM's own statement on a topic; return it if it is news.

        Parameters
        ----------
        topic : Topic
            What it is about.
        writer : str
            This VM.
        incarnation : int
            Its incarnation.
        value : Any
            JSON value; None withdraws the statement.
        """
        held = self.facts.get(f"{topic.value}/{writer}")
        if value is None and (held is None or held.value is None):
            return None
        newest = (incarnation, 0) if held is None else max(held.stamp, (incarnation, 0))
        ensure(newest[0] == incarnation, "own-incarnation", (newest, incarnation))
        fact = Fact(topic.value, writer, incarnation, newest[1] + 1, 0.0, value)
        return fact if self.merge([fact]) else None

    def age_of(self, key: str) -> float:
        """Return the seconds since a fact was stated."""
        held = self.clock.monotonic() - self.held_since[key]
        return self.facts[key].age + held

    def newer_than(self, vector: Vector) -> list[Fact]:
        """
        Return the facts that a table with `vector` lacks, at their present age.

        Parameters
        ----------
        vector : dict
            What the other table holds.
        """
        return [
            attrs.evolve(fact, age=round(self.age_of(key), 3))
            for key, fact in sorted(self.facts.items())
            if list(fact.stamp) > vector.get(key, [])
        ]

    @property
    def vector(self) -> Vector:
        """Return what this table holds."""
        return {key: list(fact.stamp) for key, fact in self.facts.items()}

    @property
    def digest(self) -> int:
        """Return a number that is equal for tables with equal facts."""
        lines = [f"{key} {fact.stamp}" for key, fact in sorted(self.facts.items())]
        return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

    def about(self, topic: Topic) -> list[Fact]:
        """
        Return the facts on a topic that are in force, in order of writer.

        Parameters
        ----------
        topic : Topic
            The topic.
        """
        start = topic.value + "/"
        return [
            attrs.evolve(fact, age=self.age_of(key))
            for key, fact in sorted(self.facts.items())
            if key.startswith(start) and fact.value is not None
        ]

    def forget_old(self) -> None:
        """Drop facts that nobody has stated for long."""
        for key in [key for key in self.facts if self.age_of(key) > FACT_LIFE]:
            del self.facts[key]
            del self.held_since[key]
