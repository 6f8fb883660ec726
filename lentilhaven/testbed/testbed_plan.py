"""Sizes and seed of a testbed."""

import attrs

from lentilhaven.core.ids import DataCentre, ModelName, ModelVersion


@attrs.frozen
class TestbedPlan:
    """
    Sizes and seed of a testbed.

    Attributes
    ----------
    seed : int
        Seed of every random source.
    virtual : bool
        Whether the testbed runs in virtual time.
    vm_count : int
        Number of VMs, spread evenly over the data centres.
    data_centres : tuple of str
        Names of the data centres.
    replica_count : int
        Number of engines for each range of layers.
    range_count : int
        Number of layer ranges into which the model is divided.
    layer_count : int
        Number of layers of the model.
    service_count : int
        Number of endpoints of the plain service.
    decode_time : float
        Seconds that an engine takes for each generated token.
    drain_delay : float
        Seconds between a router's reporting not ready and refusing new requests.
    model : str
        Name of the model.
    version : str
        Version of the model that the engines hold.
    """

    __test__ = False

    seed: int = 1
    virtual: bool = True
    vm_count: int = 1
    data_centres: tuple[DataCentre, ...] = (
        DataCentre("mty-a"),
        DataCentre("mty-b"),
        DataCentre("mty-c"),
    )
    replica_count: int = 2
    range_count: int = 3
    layer_count: int = 12
    service_count: int = 1
    decode_time: float = 0.005
    drain_delay: float = 0.1
    model: ModelName = ModelName("lentil-12")
    version: ModelVersion = ModelVersion("v1")
