"""Upper bound on the token rate of a pool."""

from collections.abc import Collection

import attrs
import networkx

from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.pipelines.range_graph import (
    RATE_UNIT,
    SINK,
    SOURCE,
    RangeGraph,
    build_flow_network,
    build_graph,
)
from lentilhaven.pipelines.range_group import GroupKey, LinkKey
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.tables import Tables


@attrs.frozen
class CutGroup:
    """
    A group of endpoints in the minimum cut of a pool.

    Attributes
    ----------
    key : GroupKey
        Layers and data centre of the group.
    endpoints : list of str
        Members of the group.
    rate : float
        Combined capacity of the members, in generated tokens per second.
    """

    key: GroupKey
    endpoints: list[EndpointId]
    rate: float


@attrs.frozen
class CutLink:
    """
    A link in the minimum cut of a pool.

    Attributes
    ----------
    key : LinkKey
        Layer boundary and data centres of the link.
    rate : float
        Capacity of the link, in generated tokens per second.
    """

    key: LinkKey
    rate: float


@attrs.frozen
class Bound:
    """
    Upper bound on the token rate of a pool, with the minimum cut.

    Attributes
    ----------
    rate : float
        Maximum flow, in generated tokens per second.
    groups : list of CutGroup
        Groups of endpoints in the cut.
    links : list of CutLink
        Links in the cut.
    """

    rate: float
    groups: list[CutGroup]
    links: list[CutLink]


def bound_of(
    pool: Pool,
    mix: TrafficMix | None = None,
    version: ModelVersion | None = None,
    unusable: Collection[EndpointId] = (),
    unusable_links: Collection[LinkKey] = (),
) -> Bound:
    """
    Return the maximum flow through a pool of engines and its minimum cut.

    Parameters
    ----------
    pool : Pool
        A pool of engines.
    mix : TrafficMix or None
        Mean request lengths; None for the defaults.
    version : str or None
        Model version that an endpoint must hold; None accepts any version.
    unusable : collection of str
        Endpoints to exclude.
    unusable_links : collection of LinkKey
        Links to exclude.

    See Also
    --------
    deployment_bounds : Bounds of all pools in the tables.
    """
    graph = build_graph(pool, version, mix or TrafficMix(), unusable, unusable_links)
    network = build_flow_network(graph)
    value, (source_side, _) = networkx.minimum_cut(network, SOURCE, SINK)
    crossing = [
        attributes["key"]
        for start, stop, attributes in network.edges(data=True)
        if start in source_side and stop not in source_side
    ]
    return bound_from_cut(graph, value * RATE_UNIT, crossing)


def bound_from_cut(graph: RangeGraph, rate: float, crossing: list) -> Bound:
    """Return a bound with the groups and links whose edges cross the cut."""
    groups = [
        CutGroup(
            key, [member.endpoint for member in graph.groups[key]], graph.capacity(key)
        )
        for key in crossing
        if isinstance(key, GroupKey)
    ]
    links = [
        CutLink(key, graph.links[key].rate)
        for key in crossing
        if isinstance(key, LinkKey)
    ]
    return Bound(rate, groups, links)


def deployment_bounds(
    tables: Tables, mix: TrafficMix | None = None
) -> dict[str, Bound]:
    """
    Return the bound of each pool of engines, by pool name.

    Parameters
    ----------
    tables : Tables
        Tables that define the pools.
    mix : TrafficMix or None
        Mean request lengths; None for the defaults.
    """
    return {
        pool.name: bound_of(pool, mix)
        for pool in tables.pools
        if pool.kind is PoolKind.ENGINE
    }
