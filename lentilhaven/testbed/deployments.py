"""Tables in the shape of the two deployments."""

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

VERSION = ModelVersion("v1")

#: Three generations of accelerators, newest first.
ACCELERATORS = {
    "new": Accelerator(26_000.0, 400_000.0, 0.0025, 12, 1_000_000.0, 16),
    "middle": Accelerator(18_000.0, 260_000.0, 0.0030, 8, 600_000.0, 16),
    "old": Accelerator(8_000.0, 120_000.0, 0.0030, 6, 200_000.0, 8),
}

#: Activations per second inside a data centre, on a good link and on a slow one.
LOCAL_RATE, GOOD_RATE, SLOW_RATE = 200_000.0, 60_000.0, 2_000.0

#: Seconds, one way, inside a data centre and between two.
LOCAL_LATENCY, REMOTE_LATENCY = 0.0001, 0.001

#: Weights of workspaces: a few large ones.
WEIGHTS = (8.0, 5.0, 3.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0, 1.0)


@attrs.frozen
class Deployment:
    """
    A shape with what lies outside the tables.

    Attributes
    ----------
    tables : Tables
        Routes, one pool of engines and workspaces.
    client_latency : float
        Seconds, one way, between callers and routers.
    router_count : int
        Routers that serve it.
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
        Factor on the number of endpoints.

    Raises
    ------
    ValueError
        If there is no such deployment.

    Examples
    --------
    >>> len(find_deployment("monterrey").pool.endpoints)
    40
    """
    if name == "monterrey":
        return monterrey(scale)
    if name == "muscat":
        return muscat(scale)
    raise ValueError(f"no deployment is called {name!r}")


def monterrey(scale: int = 1) -> Deployment:
    """
    Return Medidora's shape: mostly new engines, one slow pair of data centres.

    Parameters
    ----------
    scale : int
        Factor on the number of endpoints.
    """
    centres = [DataCentre(it) for it in ("mty-a", "mty-b", "mty-c")]
    counts = {"new": 15, "middle": 13, "old": 12}
    slow = {(centres[0], centres[2]), (centres[2], centres[0])}
    tables = build_tables("stock-llm", centres, counts, slow, scale)
    return Deployment(tables, client_latency=0.001, router_count=9)


def muscat(scale: int = 1) -> Deployment:
    """
    Return the Exchange's shape: older engines, two slow pairs of data centres.

    Parameters
    ----------
    scale : int
        Factor on the number of endpoints.
    """
    centres = [DataCentre(it) for it in ("ruwi", "seeb", "qurum")]
    counts = {"new": 9, "middle": 13, "old": 18}
    slow = {(centres[0], centres[2]), (centres[1], centres[2])}
    slow |= {(target, source) for source, target in slow}
    tables = build_tables("puzzle-llm", centres, counts, slow, scale)
    return Deployment(tables, client_latency=0.004, router_count=8)


def build_tables(
    model: str,
    centres: Sequence[DataCentre],
    counts: dict[str, int],
    slow: set[tuple[DataCentre, DataCentre]],
    scale: int,
) -> Tables:
    """Return tables with one pool, one route and ten workspaces."""
    pool = Pool(
        PoolName("llm"),
        PoolKind.ENGINE,
        build_endpoints(centres, counts, scale),
        model=ModelName(model),
        layer_count=LAYER_COUNT,
        accelerators=ACCELERATORS,
        links=build_links(centres, slow, scale),
    )
    workspaces = [
        Workspace(WorkspaceId(f"workspace-{index + 1}"), [], weight)
        for index, weight in enumerate(WEIGHTS)
    ]
    route = Route(RouteName("chat"), pool.name)
    return Tables([route], [pool], workspaces, version=1)


def build_endpoints(
    centres: Sequence[DataCentre], counts: dict[str, int], scale: int
) -> list[EndpointSpec]:
    """Return endpoints whose kinds, ranges and data centres take turns."""
    endpoints: list[EndpointSpec] = []
    for kind, count in counts.items():
        size = ACCELERATORS[kind].weight_capacity
        parts = LAYER_COUNT // size
        for index in range(count * scale):
            start = index % parts * size
            centre = centres[index // parts % len(centres)]
            name = EndpointId(f"{kind}-{index + 1}")
            layers = LayerRange(start, start + size)
            endpoints.append(EndpointSpec(name, "", centre, layers, VERSION, kind))
    return endpoints


def build_links(
    centres: Sequence[DataCentre],
    slow: set[tuple[DataCentre, DataCentre]],
    scale: int,
) -> list[Link]:
    """Return all links; they grow with the number of endpoints."""
    links = []
    for source in centres:
        for target in centres:
            if source == target:
                link = Link(source, target, LOCAL_LATENCY, LOCAL_RATE * scale)
            else:
                rate = SLOW_RATE if (source, target) in slow else GOOD_RATE
                link = Link(source, target, REMOTE_LATENCY, rate * scale)
            links.append(link)
    return links
