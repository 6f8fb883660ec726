"""Tables of two sample deployments, ``monterrey`` and ``muscat``."""

from collections.abc import Sequence

import attrs

from lentilhaven.core.ids import (
    DataCentre,
    EndpointId,
    ModelName,
    ModelVersion,
    PoolName,
    RouteName,
    WorkspaceId,
)
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.layer_range import LayerRange
from lentilhaven.tables.link import Link
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.workspace import Workspace

LAYER_COUNT = 48

MODEL_VERSION = ModelVersion("v1")

#: Three generations of accelerators, newest first, by name.  The arguments are decode
#: rate, prefill rate, step overhead, batch size, KV capacity and weight capacity; see
#: `Accelerator` for the units.
ACCELERATORS = {
    "new": Accelerator(26_000.0, 400_000.0, 0.0025, 12, 1_000_000.0, 16),
    "middle": Accelerator(18_000.0, 260_000.0, 0.0030, 8, 600_000.0, 16),
    "old": Accelerator(8_000.0, 120_000.0, 0.0030, 6, 200_000.0, 8),
}

#: Activations per second on a link inside a data centre, and on a fast and a slow link
#: between two.
LOCAL_RATE, FAST_RATE, SLOW_RATE = 200_000.0, 60_000.0, 2_000.0

#: One-way latency inside a data centre and between two, in seconds.
LOCAL_LATENCY, REMOTE_LATENCY = 0.0001, 0.001

#: Weight of each workspace; a few large workspaces dominate.
WORKSPACE_WEIGHTS = (8.0, 5.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)


@attrs.frozen
class Deployment:
    """
    Tables of a deployment and its properties outside the tables.

    Attributes
    ----------
    tables : Tables
        Routes, workspaces and one pool of engines.
    client_latency : float
        One-way latency between callers and routers, in seconds.
    router_count : int
        Number of routers that serve the deployment.
    """

    tables: Tables
    client_latency: float
    router_count: int

    @property
    def pool(self) -> Pool:
        """Return the pool of engines."""
        return self.tables.pools[0]


def find_deployment(name: str, scale: int = 1) -> Deployment:
    """
    Return a deployment by name.

    Parameters
    ----------
    name : str
        ``"monterrey"`` or ``"muscat"``.
    scale : int
        Factor by which the number of endpoints and the link rates are multiplied.

    Raises
    ------
    ValueError
        If `name` is not the name of a deployment.

    Examples
    --------
    >>> len(find_deployment("monterrey").pool.endpoints)
    40
    """
    if name == "monterrey":
        return monterrey(scale)
    if name == "muscat":
        return muscat(scale)
    raise ValueError(f"unknown deployment {name!r}; expected monterrey or muscat")


def monterrey(scale: int = 1) -> Deployment:
    """
    Return a deployment modelled on ``examples/monterrey``.

    Most engines are of the newer generations, and the links of one pair of data
    centres are slow.

    Parameters
    ----------
    scale : int
        Factor by which the number of endpoints and the link rates are multiplied.
    """
    data_centres = [DataCentre(name) for name in ("mty-a", "mty-b", "mty-c")]
    accelerator_counts = {"new": 15, "middle": 13, "old": 12}
    slow_pairs = {
        (data_centres[0], data_centres[2]),
        (data_centres[2], data_centres[0]),
    }
    tables = build_tables(
        "stock-llm", data_centres, accelerator_counts, slow_pairs, scale
    )
    return Deployment(tables, client_latency=0.001, router_count=9)


def muscat(scale: int = 1) -> Deployment:
    """
    Return a deployment modelled on ``examples/muscat``.

    Most engines are of the older generations, and the links of two pairs of data
    centres are slow.

    Parameters
    ----------
    scale : int
        Factor by which the number of endpoints and the link rates are multiplied.
    """
    data_centres = [DataCentre(name) for name in ("ruwi", "seeb", "qurum")]
    accelerator_counts = {"new": 9, "middle": 13, "old": 18}
    slow_pairs = {
        (data_centres[0], data_centres[2]),
        (data_centres[1], data_centres[2]),
    }
    slow_pairs |= {(target, source) for source, target in slow_pairs}
    tables = build_tables(
        "puzzle-llm", data_centres, accelerator_counts, slow_pairs, scale
    )
    return Deployment(tables, client_latency=0.004, router_count=8)


def build_tables(
    model: str,
    data_centres: Sequence[DataCentre],
    accelerator_counts: dict[str, int],
    slow_pairs: set[tuple[DataCentre, DataCentre]],
    scale: int,
) -> Tables:
    """
    Return tables with one pool, one route and ten workspaces.

    Parameters
    ----------
    model : str
        Name of the model.
    data_centres : sequence of str
        Data centres of the endpoints.
    accelerator_counts : dict
        Number of endpoints by accelerator, before `scale` is applied.
    slow_pairs : set of tuple
        Pairs of source and target whose link is slow.
    scale : int
        Factor by which the number of endpoints and the link rates are multiplied.
    """
    pool = Pool(
        PoolName("llm"),
        PoolKind.ENGINE,
        build_endpoints(data_centres, accelerator_counts, scale),
        model=ModelName(model),
        layer_count=LAYER_COUNT,
        accelerators=ACCELERATORS,
        links=build_links(data_centres, slow_pairs, scale),
    )
    workspaces = [
        Workspace(WorkspaceId(f"workspace-{index + 1}"), [], weight)
        for index, weight in enumerate(WORKSPACE_WEIGHTS)
    ]
    route = Route(RouteName("chat"), pool.name)
    return Tables([route], [pool], workspaces, version=1)


def build_endpoints(
    data_centres: Sequence[DataCentre], accelerator_counts: dict[str, int], scale: int
) -> list[EndpointSpec]:
    """
    Return endpoints with layer ranges assigned in turn.

    Each complete set of layer ranges is placed in the next data centre.

    Parameters
    ----------
    data_centres : sequence of str
        Data centres of the endpoints.
    accelerator_counts : dict
        Number of endpoints by accelerator, before `scale` is applied.
    scale : int
        Factor by which the number of endpoints is multiplied.
    """
    endpoints: list[EndpointSpec] = []
    for accelerator, count in accelerator_counts.items():
        layers_per_endpoint = ACCELERATORS[accelerator].weight_capacity
        range_count = LAYER_COUNT // layers_per_endpoint
        for index in range(count * scale):
            start = index % range_count * layers_per_endpoint
            data_centre = data_centres[index // range_count % len(data_centres)]
            name = EndpointId(f"{accelerator}-{index + 1}")
            layers = LayerRange(start, start + layers_per_endpoint)
            endpoints.append(
                EndpointSpec(name, "", data_centre, layers, MODEL_VERSION, accelerator)
            )
    return endpoints


def build_links(
    data_centres: Sequence[DataCentre],
    slow_pairs: set[tuple[DataCentre, DataCentre]],
    scale: int,
) -> list[Link]:
    """
    Return the links inside and between all data centres.

    Parameters
    ----------
    data_centres : sequence of str
        Data centres to link.
    slow_pairs : set of tuple
        Pairs of source and target whose link is slow.
    scale : int
        Factor by which the rates are multiplied, as is the number of endpoints.
    """
    links = []
    for source in data_centres:
        for target in data_centres:
            if source == target:
                link = Link(source, target, LOCAL_LATENCY, LOCAL_RATE * scale)
            else:
                rate = SLOW_RATE if (source, target) in slow_pairs else FAST_RATE
                link = Link(source, target, REMOTE_LATENCY, rate * scale)
            links.append(link)
    return links
