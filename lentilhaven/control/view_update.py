"""What an agent sends when its view has changed."""

from typing import Any

import attrs

from lentilhaven.control.view import EndpointView
from lentilhaven.core.ids import EndpointId, VmId


@attrs.frozen
class TablesUpdate:
    """
    Newer tables, as a head and the parts that the router does not hold.

    Attributes
    ----------
    head : dict
        Document of the `TableHead`.
    parts : dict
        Documents of parts by content hash.
    """

    head: dict[str, Any]
    parts: dict[str, Any]


@attrs.frozen
class ViewUpdate:
    """
    The difference between two views of one run of an agent.

    Its size follows what has changed, not the size of the system.

    Attributes
    ----------
    run : int
        The agent's incarnation.
    sequence : int
        Sequence of the newer view.
    full : bool
        Whether `endpoints` holds all of them rather than the changed ones.
    endpoints : dict
        `EndpointView` by endpoint.
    gone : list of str
        Endpoints of which nothing is known any more.
    tables : TablesUpdate or None
        Set when the router's tables are not the newest.
    live_vms : list of str
        VMs believed to be live, in order of name.
    leaving : bool
        Whether this VM leaves.
    """

    run: int
    sequence: int
    full: bool
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    gone: list[EndpointId] = attrs.field(factory=list)
    tables: TablesUpdate | None = None
    live_vms: list[VmId] = attrs.field(factory=list)
    leaving: bool = False
