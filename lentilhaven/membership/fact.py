"""What one VM tells the others."""

from typing import Any

import attrs

from lentilhaven.core.ids import VmId


@attrs.frozen
class Fact:
    """
    A statement of one VM, which replaces its earlier one on the same topic.

    Attributes
    ----------
    topic : str
        What it is about.
    writer : str
        The VM that states it.
    incarnation : int
        Incarnation of the writer.
    sequence : int
        Rises with each statement of one incarnation.
    age : float
        Seconds since it was stated, transport included as far as it is known.
    value : Any
        JSON value; None withdraws the statement.
    """

    topic: str
    writer: VmId
    incarnation: int
    sequence: int
    age: float
    value: Any

    @property
    def key(self) -> str:
        """Return what identifies the statement among all others."""
        return f"{self.topic}/{self.writer}"

    @property
    def stamp(self) -> tuple[int, int]:
        """Return what orders the statements of one key."""
        return self.incarnation, self.sequence
