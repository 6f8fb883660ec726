"""The view of the system that an agent gives its router."""

import enum

import attrs

from lentilhaven.core.ids import EndpointId, VmId
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.tables.tables import Tables


class EndpointState(enum.Enum):
    """State of an endpoint as the agent knows it."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@attrs.frozen
class EndpointView:
    """
    The state and the latest load report of one endpoint.

    Attributes
    ----------
    state : EndpointState
        Determines whether the endpoint may receive new work.
    report : LoadReport or None
        Latest load report of the endpoint; None if there is none.
    age : float
        Seconds since the report was made.
    """

    state: EndpointState
    report: LoadReport | None = None
    age: float = 0.0


@attrs.frozen
class View:
    """
    The state on which a router bases its decisions.

    Attributes
    ----------
    sequence : int
        Increases with every change within one run of the agent.
    tables : Tables
        The current tables.
    endpoints : dict
        `EndpointView` by endpoint.  An endpoint that is missing is live and
        has not sent a report.
    live_vms : list of str
        VMs believed to be live, sorted by name.
    leaving : bool
        Whether this VM is leaving, according to the platform or to its agent.
    """

    sequence: int
    tables: Tables
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    live_vms: list[VmId] = attrs.field(factory=list)
    leaving: bool = False
