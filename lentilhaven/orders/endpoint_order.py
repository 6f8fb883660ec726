"""What is ordered of an endpoint, and what it reports."""

import enum

import attrs

from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen
class EndpointOrder:
    """
    The whole desired state of an endpoint.

    Attributes
    ----------
    endpoint : str
        The endpoint.
    fence : int
        Fencing number of the lease under which it was sent.
    sequence : int
        Rises with every order under one fencing number.
    version : str
        Model version to hold.
    adapters : tuple of str
        Adapters to hold.
    role : str
        Role to take.
    """

    endpoint: EndpointId
    fence: int
    sequence: int
    version: ModelVersion
    adapters: tuple[str, ...] = ()
    role: str = "serve"


class Phase(enum.Enum):
    """What an endpoint is doing."""

    SERVING = "serving"
    LOADING = "loading"
    DOWN = "down"


@attrs.frozen
class EndpointReport:
    """
    The state of an endpoint.

    Attributes
    ----------
    endpoint : str
        The endpoint.
    layers : LayerRange
        The range that it holds.
    phase : Phase
        What it is doing.
    version : str
        The version that it holds or loads.
    wanted : str
        The version that the tables want.
    in_flight : int
        Requests that it is working on.
    """

    endpoint: EndpointId
    layers: LayerRange
    phase: Phase
    version: ModelVersion
    wanted: ModelVersion
    in_flight: int = 0

    @property
    def outdated(self) -> bool:
        """Return whether it serves another version than the wanted one."""
        return self.phase is Phase.SERVING and self.version != self.wanted
