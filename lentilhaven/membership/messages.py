"""Messages between agents."""

import attrs

from lentilhaven.core.ids import VmId
from lentilhaven.membership.fact import Fact
from lentilhaven.membership.fact_table import VersionVector


@attrs.frozen
class Heartbeat:
    """
    State of a VM, sent with each heartbeat and with each response to one.

    Attributes
    ----------
    vm : str
        Id of the VM.
    incarnation : int
        Incarnation of the VM.
    digest : int
        Digest of the urgent facts that the VM holds.
    tables : int
        Version of the tables that the VM holds.
    """

    vm: VmId
    incarnation: int
    digest: int
    tables: int


@attrs.frozen
class FactRequest:
    """
    A push of facts combined with a request for newer ones.

    Attributes
    ----------
    vectors : dict
        Version vectors of the requesting VM, by scope; no facts are requested for
        a missing scope.
    facts : list of Fact
        Facts that are pushed.
    """

    vectors: dict[str, VersionVector] = attrs.field(factory=dict)
    facts: list[Fact] = attrs.field(factory=list)


@attrs.frozen
class FactAnswer:
    """
    Response to a `FactRequest`.

    Attributes
    ----------
    facts : list of Fact
        Requested facts that the requesting VM lacks.
    """

    facts: list[Fact] = attrs.field(factory=list)
