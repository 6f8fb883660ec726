"""The most tokens per second that a pool can generate."""

from collections.abc import Collection

import attrs
import networkx

from lentilhaven.core.ids import EndpointId, ModelVersion
from lentilhaven.pipelines.range_graph import (
    RATE_UNIT,
    SINK,
    SOURCE,
    RangeGraph,
    build_graph,
    flow_graph,
)
from lentilhaven.pipelines.range_group import GroupKey, LinkKey
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.tables import Tables


@attrs.frozen
class CutGroup:
    """
    A group of endpoints that limits the pool.

    Attributes
    ----------
    key : GroupKey
        Layers and data centre.
    endpoints : list of str
        Its members.
    rate : float
        Tokens per second of all of them.
    """

    key: GroupKey
    endpoints: list[EndpointId]
    rate: float


@attrs.frozen
class CutLink:
    """
    A link that limits the pool.

    Attributes
    ----------
    key : LinkKey
        Boundary and data centres.
    rate : float
        Generated tokens per second that it carries.
    """

    key: LinkKey
    rate: float


@attrs.frozen
class Bound:
    """
    Bound of a pool and what limits it.

    Attributes
    ----------
    rate : float
        Generated tokens per second.
    groups : list of CutGroup
        Endpoints in the limiting cut.
    links : list of CutLink
        Links in the limiting cut.
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
    Return the maximum flow through a pool of engines with its limiting cut.

    Parameters
    ----------
    pool : Pool
        The pool.
    mix : TrafficMix or None
        Mean request; None for the default.
    version : str or None
        Only endpoints that hold this version count; None for all.
    unusable : collection of str
        Endpoints left out.
    unusable_links : collection of LinkKey
        Links left out.

    See Also
    --------
    deployment_bounds : the same for each pool of the tables.
    """
    graph = build_graph(pool, version, mix or TrafficMix(), unusable, unusable_links)
    flow = flow_graph(graph)
    value, (near, _) = networkx.minimum_cut(flow, SOURCE, SINK)
    crossing = [
        attributes["key"]
        for start, stop, attributes in flow.edges(data=True)
        if start in near and stop not in near
    ]
    return describe_cut(graph, value * RATE_UNIT, crossing)


def describe_cut(graph: RangeGraph, rate: float, crossing: list) -> Bound:
    """Return a bound with the groups and links that cross its cut."""
    groups = [
        CutGroup(key, [it.endpoint for it in graph.groups[key]], graph.capacity(key))
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
    Return the bound of each pool of engines by the pool's name.

    Parameters
    ----------
    tables : Tables
        The tables.
    mix : TrafficMix or None
        Mean request; None for the default.
    """
    return {
        pool.name: bound_of(pool, mix)
        for pool in tables.pools
        if pool.kind is PoolKind.ENGINE
    }
