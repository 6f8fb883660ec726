"""Updates that an agent sends when its view has changed."""

from typing import Any

import attrs

from lentilhaven.control.view import EndpointView
from lentilhaven.core.ids import EndpointId, VmId


@attrs.frozen
class TablesUpdate:
    """
    Newer tables, as a head and the parts that the router does not have.

    Attributes
    ----------
    head : dict
        JSON document of the `TableHead`.
    parts : dict
        JSON documents of the parts, by content hash.
    """

    head: dict[str, Any]
    parts: dict[str, Any]


@attrs.frozen
class ViewUpdate:
    """
    The difference between two views of one run of an agent.

    Its size depends on the number of changes, not on the size of the system.

    Attributes
    ----------
    run : int
        Incarnation with which the agent started; it identifies the agent's run.
    sequence : int
        Sequence number of the newer view.
    full : bool
        Whether `endpoints` holds all endpoints rather than only the changed ones.
    endpoints : dict
        `EndpointView` by endpoint.
    gone : list of str
        Endpoints that the agent no longer has any information about.
    tables : TablesUpdate or None
        The newer tables; None if the router has the newest or the agent is not
        ready.
    live_vms : list of str
        VMs believed to be live, sorted by name.
    leaving : bool
        Whether this VM is leaving.
    """

    run: int
    sequence: int
    full: bool
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    gone: list[EndpointId] = attrs.field(factory=list)
    tables: TablesUpdate | None = None
    live_vms: list[VmId] = attrs.field(factory=list)
    leaving: bool = False
