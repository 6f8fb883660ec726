"""Groups of endpoints in one data centre that hold the same layers."""

import attrs

from lentilhaven.core.ids import DataCentre, EndpointId
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen(order=True)
class GroupKey:
    """
    Key of a group: the layers and data centre that its members share.

    Attributes
    ----------
    layers : LayerRange
        Layers that every member holds.
    data_centre : str
        Data centre of every member.
    """

    layers: LayerRange
    data_centre: DataCentre


@attrs.frozen(order=True)
class LinkKey:
    """
    Key of a link between data centres at one layer boundary.

    Attributes
    ----------
    boundary : int
        Index of the first layer after the boundary.
    source, target : str
        Data centres at the two ends; equal for a link inside one data centre.
    """

    boundary: int
    source: DataCentre
    target: DataCentre


@attrs.frozen
class GroupMember:
    """
    An endpoint as a member of a group.

    Attributes
    ----------
    endpoint : str
        Id of the endpoint.
    layers : LayerRange
        Layers that the endpoint holds.
    data_centre : str
        Data centre of the endpoint.
    rate : float
        Generated tokens per second: the capacity of the endpoint in a `RangeGraph`,
        but its share of the flow in a `PathPlan`.
    kv_capacity : float
        Capacity of the KV cache, in layers times tokens.
    accelerator : str
        Name of the accelerator in the pool table.
    """

    endpoint: EndpointId
    layers: LayerRange
    data_centre: DataCentre
    rate: float
    kv_capacity: float = float("inf")
    accelerator: str = ""
