"""The desired and the reported state of an endpoint."""

import enum

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen
class EndpointOrder:
    """
    The complete desired state of an endpoint.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    fence : int
        Fencing number of the lease under which the order was sent.
    sequence : int
        Increases with every order under one fencing number.
    version : str
        Desired model version.
    adapters : tuple of str
        Desired adapters.
    role : str
        Desired role.
    """

    endpoint: EndpointId
    fence: int
    sequence: int
    version: ModelVersion
    adapters: tuple[str, ...] = ()
    role: str = "serve"


class Phase(enum.Enum):
    """Whether an endpoint serves, loads a version or is down."""

    SERVING = "serving"
    LOADING = "loading"
    DOWN = "down"


@attrs.frozen
class EndpointReport:
    """
    The state that an endpoint reports.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    layers : LayerRange
        Range of layers that the endpoint holds.
    phase : Phase
        Whether the endpoint serves, loads a version or is down.
    version : str
        The version that the endpoint serves or loads.
    wanted : str
        The desired version from the tables.
    in_flight : int
        Number of requests in flight at the endpoint.
    """

    endpoint: EndpointId
    layers: LayerRange
    phase: Phase
    version: ModelVersion
    wanted: ModelVersion
    in_flight: int = 0

    @property
    def outdated(self) -> bool:
        """Return whether the endpoint serves another version than the desired one."""
        return self.phase is Phase.SERVING and self.version != self.wanted
