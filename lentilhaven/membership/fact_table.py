"""Tables of the newest facts, exchanged by version vector."""

import enum
from typing import Any

import attrs
import xxhash

from lentilhaven.core.clock import Clock
from lentilhaven.core.ids import VmId
from lentilhaven.core.invariants import ensure
from lentilhaven.membership.fact import Fact

#: Seconds after which a fact that is not published again is dropped.
FACT_LIFETIME = 30.0

#: Stamp of each fact that a table holds, as ``[incarnation, sequence]``, by key.
VersionVector = dict[str, list[int]]


class Topic(enum.Enum):
    """Subjects of facts."""

    SUSPECTS = "suspects"
    LEAVING = "leaving"
    LOAD = "load"
    SUMMARY = "summary"


class Scope(enum.Enum):
    """Groups of facts that differ in how they are sent and to which VMs."""

    URGENT = "urgent"
    LOAD = "load"
    SUMMARY = "summary"


#: Scope of each topic.  Urgent facts are pushed to all VMs and also pulled.  Load and
#: summaries are only pulled: load within a data centre, summaries also from other data
#: centres.
SCOPES = {
    Topic.SUSPECTS: Scope.URGENT,
    Topic.LEAVING: Scope.URGENT,
    Topic.LOAD: Scope.LOAD,
    Topic.SUMMARY: Scope.SUMMARY,
}


@attrs.define
class FactTable:
    """
    The newest fact of each topic and writer in one scope.

    Attributes
    ----------
    clock : Clock
        Clock that supplies times and delays.
    facts : dict
        `Fact` by key, with its age at the time in `received_at`.
    received_at : dict
        Monotonic time at which each fact was received or published, by key.
    """

    clock: Clock
    facts: dict[str, Fact] = attrs.field(factory=dict)
    received_at: dict[str, float] = attrs.field(factory=dict)

    def merge(self, facts: list[Fact], transport: float = 0.0) -> list[Fact]:
        """
        Merge newer facts and return those whose value changed.

        Parameters
        ----------
        facts : list of Fact
            Facts to merge.
        transport : float
            Upper bound of their transport time in seconds.
        """
        now = self.clock.monotonic()
        newer = []
        for fact in facts:
            held = self.facts.get(fact.key)
            age = fact.age + transport
            if (held and held.stamp >= fact.stamp) or age > FACT_LIFETIME:
                continue
            self.facts[fact.key] = attrs.evolve(fact, age=age)
            self.received_at[fact.key] = now
            if fact.value != (held.value if held else None):
                newer.append(fact)
        return newer

    def update_own(
        self, topic: Topic, writer: VmId, incarnation: int, value: Any
    ) -> Fact | None:
        """
        Replace this VM's fact on a topic; return the new one if its value changed.

        Parameters
        ----------
        topic : Topic
            Topic of the fact.
        writer : str
            Id of this VM.
        incarnation : int
            Incarnation of this VM.
        value : Any
            JSON value; None withdraws the fact.
        """
        held = self.facts.get(f"{topic.value}/{writer}")
        if value is None and (held is None or held.value is None):
            return None
        newest = (incarnation, 0) if held is None else max(held.stamp, (incarnation, 0))
        ensure(newest[0] == incarnation, "own-incarnation", (newest, incarnation))
        fact = Fact(topic.value, writer, incarnation, newest[1] + 1, 0.0, value)
        return fact if self.merge([fact]) else None

    def age_of(self, key: str) -> float:
        """Return the seconds since a fact was published."""
        held = self.clock.monotonic() - self.received_at[key]
        return self.facts[key].age + held

    def newer_than(self, vector: VersionVector) -> list[Fact]:
        """
        Return the facts that a table with `vector` lacks, with their current age.

        Parameters
        ----------
        vector : dict
            Version vector of the other table.
        """
        return [
            attrs.evolve(fact, age=round(self.age_of(key), 3))
            for key, fact in sorted(self.facts.items())
            if list(fact.stamp) > vector.get(key, [])
        ]

    @property
    def version_vector(self) -> VersionVector:
        """Return the stamp of each fact in this table."""
        return {key: list(fact.stamp) for key, fact in self.facts.items()}

    @property
    def digest(self) -> int:
        """Return a hash of all keys and stamps, equal for tables with equal facts."""
        lines = [f"{key} {fact.stamp}" for key, fact in sorted(self.facts.items())]
        return xxhash.xxh3_64_intdigest("\n".join(lines).encode())

    def facts_on(self, topic: Topic) -> list[Fact]:
        """
        Return the facts on a topic that are not withdrawn, ordered by writer.

        Parameters
        ----------
        topic : Topic
            Topic of the facts.
        """
        start = topic.value + "/"
        return [
            attrs.evolve(fact, age=self.age_of(key))
            for key, fact in sorted(self.facts.items())
            if key.startswith(start) and fact.value is not None
        ]

    def drop_expired(self) -> None:
        """Drop facts that are older than their lifetime."""
        for key in [key for key in self.facts if self.age_of(key) > FACT_LIFETIME]:
            del self.facts[key]
            del self.received_at[key]
