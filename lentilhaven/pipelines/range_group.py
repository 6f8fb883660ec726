"""Endpoints of one data centre that hold the same layers."""

import attrs

from lentilhaven.core.ids import DataCentre, EndpointId
from lentilhaven.tables.layer_range import LayerRange


@attrs.frozen(order=True)
class GroupKey:
    """
    Identity of a group.

    Attributes
    ----------
    layers : LayerRange
        Layers that every member holds.
    data_centre : str
        Where the members stand.
    """

    layers: LayerRange
    data_centre: DataCentre


@attrs.frozen(order=True)
class LinkKey:
    """
    Identity of a link at one boundary.

    Attributes
    ----------
    boundary : int
        Layer that follows the boundary.
    source, target : str
        Data centres.
    """

    boundary: int
    source: DataCentre
    target: DataCentre


@attrs.frozen
class Member:
    """
    An endpoint of a group.

    Attributes
    ----------
    endpoint : str
        The endpoint.
    layers : LayerRange
        Layers that it holds.
    data_centre : str
        Where it stands.
    rate : float
        Tokens per second that it should get, at the pool's bound.
    kv_capacity : float
        Layers times tokens that its KV cache holds.
    accelerator : str
        Kind of accelerator.
    """

    endpoint: EndpointId
    layers: LayerRange
    data_centre: DataCentre
    rate: float
    kv_capacity: float = float("inf")
    accelerator: str = ""
