"""What an agent tells its router."""

import enum

import attrs

from lentilhaven.core.ids import EndpointId, VmId
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.tables.tables import Tables


class EndpointState(enum.Enum):
    """What is known of an endpoint."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@attrs.frozen
class EndpointView:
    """
    The state and last report of one endpoint.

    Attributes
    ----------
    state : EndpointState
        Whether it may get new work.
    report : LoadReport or None
        Its last report; None when there is none.
    age : float
        Seconds since the report was made.
    """

    state: EndpointState
    report: LoadReport | None = None
    age: float = 0.0


@attrs.frozen
class View:
    """
    Everything that a router decides on.

    Attributes
    ----------
    sequence : int
        Rises with every change, within one run of the agent.
    tables : Tables
        The tables in force.
    endpoints : dict
        `EndpointView` by endpoint.  An endpoint that is missing is live and
        has not reported.
    live_vms : list of str
        VMs believed to be live, in order of name.
    leaving : bool
        Whether this VM leaves, as the platform or its agent says.
    """

    sequence: int
    tables: Tables
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    live_vms: list[VmId] = attrs.field(factory=list)
    leaving: bool = False
