"""Facts that VMs publish to each other."""

from typing import Any

import attrs

from lentilhaven.core.ids import VmId


@attrs.frozen
class Fact:
    """
    A value published by one VM; it replaces the VM's earlier one on the same topic.

    Attributes
    ----------
    topic : str
        Value of a `Topic` member.
    writer : str
        VM that publishes the fact.
    incarnation : int
        Incarnation of the writer.
    sequence : int
        Increases with each fact that one incarnation publishes on the topic.
    age : float
        Seconds since publication, including transport time as far as known.
    value : Any
        JSON value; None withdraws the fact.
    """

    topic: str
    writer: VmId
    incarnation: int
    sequence: int
    age: float
    value: Any

    @property
    def key(self) -> str:
        """Return the key that topic and writer form."""
        return f"{self.topic}/{self.writer}"

    @property
    def stamp(self) -> tuple[int, int]:
        """Return the value by which facts of the same key are ordered."""
        return self.incarnation, self.sequence
