"""Messages between agents."""

import attrs

from lentilhaven.core.ids import VmId
from lentilhaven.membership.fact import Fact
from lentilhaven.membership.fact_table import Vector


@attrs.frozen
class Heartbeat:
    """
    What a VM tells with each heartbeat and each answer to one.

    Attributes
    ----------
    vm : str
        The VM.
    incarnation : int
        Its incarnation.
    digest : int
        Digest of its urgent facts.
    tables : int
        Version of the tables that it holds.
    """

    vm: VmId
    incarnation: int
    digest: int
    tables: int


@attrs.frozen
class FactRequest:
    """
    Facts that are pushed, and a question for newer ones.

    Attributes
    ----------
    vectors : dict
        What the asking VM holds, by scope; a scope that is missing is not asked for.
    facts : list of Fact
        What is pushed.
    """

    vectors: dict[str, Vector] = attrs.field(factory=dict)
    facts: list[Fact] = attrs.field(factory=list)


@attrs.frozen
class FactAnswer:
    """
    The answer to a `FactRequest`.

    Attributes
    ----------
    facts : list of Fact
        What the asking VM lacks.
    """

    facts: list[Fact] = attrs.field(factory=list)
