"""How a pool's flow is shared between endpoints and links."""

import math
from collections import defaultdict
from collections.abc import Collection

import attrs
import networkx

from lentilhaven.core.ids import DataCentre, EndpointId, ModelVersion
from lentilhaven.pipelines.endpoint_rate import UNKNOWN
from lentilhaven.pipelines.range_graph import (
    RATE_UNIT,
    SINK,
    SOURCE,
    RangeGraph,
    build_graph,
    flow_graph,
    group_ends,
    link_ends,
    whole_units,
)
from lentilhaven.pipelines.range_group import GroupKey, LinkKey, Member
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.pool import Pool

#: Parts into which the capacity of each kind in a group is cut, each dearer than
#: the one before, so that the cheapest flow keeps delays low.
SEGMENTS = 10

#: Cost of a second, in units of the cheapest flow's whole costs.
SECOND_COST = 1_000_000

#: Factor on the cost of the last segment, where queues grow long.
LAST_SEGMENT_FACTOR = 3.0

#: The data centre from which every path starts.
OUTSIDE = DataCentre("")


@attrs.frozen
class PathPlan:
    """
    Shares of the flow; the same for every router that sees the same pool.

    Attributes
    ----------
    layer_count : int
        Number of the model's layers.
    rate : float
        The pool's bound, in generated tokens per second; 0 without any path.
    members : dict
        List of `Member` with a share of the flow, by boundary and data centre
        at which they start.
    links : dict
        Flow to each next data centre, by boundary and data centre; the first
        hop starts at `OUTSIDE`.
    """

    layer_count: int
    rate: float
    members: dict[tuple[int, DataCentre], list[Member]]
    links: dict[tuple[int, DataCentre], dict[DataCentre, float]]

    def all_members(self) -> list[Member]:
        """Return every endpoint with a share."""
        return [member for members in self.members.values() for member in members]


def plan_paths(
    pool: Pool,
    version: ModelVersion | None = None,
    mix: TrafficMix | None = None,
    unusable: Collection[EndpointId] = (),
    unusable_links: Collection[LinkKey] = (),
    level: float = 1.0,
) -> PathPlan:
    """
    Return the flow of least delay that carries a part of the bound.

    Parameters
    ----------
    pool : Pool
        A pool of engines.
    version : str or None
        Only endpoints that hold this version count; None for all.
    mix : TrafficMix or None
        Mean request; None for the default.
    unusable : collection of str
        Endpoints left out.
    unusable_links : collection of LinkKey
        Links left out.
    level : float
        Part of the bound that the flow carries; a pool that is not full needs
        its slow engines and links less.
    """
    graph = build_graph(pool, version, mix or TrafficMix(), unusable, unusable_links)
    flow = flow_graph(graph)
    most = networkx.maximum_flow_value(flow, SOURCE, SINK)
    if most == 0:
        return PathPlan(graph.layer_count, 0.0, {}, {})
    edges = cheapest_flow(graph, flow, max(1, round(most * level)))
    return share_flow(graph, most, edges)


def cheapest_flow(
    graph: RangeGraph, flow: networkx.DiGraph, value: int
) -> dict[tuple, dict]:
    """
    Return the cheapest flow of a given value.

    Parameters
    ----------
    graph : RangeGraph
        Groups and links.
    flow : networkx.DiGraph
        The same with whole capacities.
    value : int
        Units of flow.

    Returns
    -------
    dict
        Flow by kind of accelerator, for each pair of vertices; links have the
        kind ``""`` alone.
    """
    costs = networkx.MultiDiGraph()
    costs.add_node(SOURCE, demand=-value)
    costs.add_node(SINK, demand=value)
    for start, stop, attributes in flow.edges(data=True):
        key = attributes.get("key")
        if isinstance(key, GroupKey):
            add_segments(costs, graph, key)
            continue
        latency = graph.links[key].latency if isinstance(key, LinkKey) else 0.0
        capacity = min(attributes.get("capacity", value), value)
        weight = round(latency * SECOND_COST)
        costs.add_edge(start, stop, ("", 0), capacity=capacity, weight=weight)
    _, by_vertex = networkx.network_simplex(costs)
    return {
        (start, stop): sum_by_kind(edges)
        for start, stops in by_vertex.items()
        for stop, edges in stops.items()
    }


def sum_by_kind(edges: dict[tuple[str, int], int]) -> dict[str, int]:
    """
    Return the flow by kind of accelerator.

    Examples
    --------
    >>> sum_by_kind({("old", 0): 2, ("old", 1): 1, ("new", 0): 4})
    {'old': 3, 'new': 4}
    """
    total: dict[str, int] = defaultdict(int)
    for (kind, _), value in edges.items():
        total[kind] += value
    return dict(total)


def add_segments(
    costs: networkx.MultiDiGraph, graph: RangeGraph, key: GroupKey
) -> None:
    """Add each kind of a group as parallel edges of rising cost."""
    rates: dict[str, float] = defaultdict(float)
    for member in graph.groups[key]:
        rates[member.accelerator] += member.rate
    left = whole_units(sum(rates.values()))
    for kind in sorted(rates):
        # Rounded up, so that the parts carry at least the group's capacity.
        capacity = min(left, math.ceil(rates[kind] / RATE_UNIT))
        left -= capacity
        accelerator = graph.accelerators.get(kind, UNKNOWN)
        for index in range(SEGMENTS):
            part = capacity * (index + 1) // SEGMENTS - capacity * index // SEGMENTS
            seconds = segment_delay(accelerator, key.layers.size, index)
            weight = round(seconds * SECOND_COST)
            edge = group_ends(key)
            costs.add_edge(*edge, (kind, index), capacity=part, weight=weight)


def segment_delay(accelerator: Accelerator, size: int, index: int) -> float:
    """
    Return the delay that a segment's tokens add, in seconds per token.

    That is the rise of the whole delay of all tokens with the load, so that the
    cheapest flow has the least mean delay.

    Parameters
    ----------
    accelerator : Accelerator
        Kind of accelerator.
    size : int
        Number of layers.
    index : int
        The segment's place, counted from 0.
    """
    low, high = index / SEGMENTS, (index + 1) / SEGMENTS
    rise = high * step_time(accelerator, size, high)
    rise -= low * step_time(accelerator, size, low)
    last = LAST_SEGMENT_FACTOR if index == SEGMENTS - 1 else 1.0
    return rise * SEGMENTS * last


def step_time(accelerator: Accelerator, size: int, utilisation: float) -> float:
    """
    Return the seconds that a token waits for and takes part in a step.

    Parameters
    ----------
    accelerator : Accelerator
        Kind of accelerator.
    size : int
        Number of layers.
    utilisation : float
        Load as a part of the rate at a full batch.

    Examples
    --------
    >>> kind = Accelerator(1000.0, 10_000.0, 0.01, 10, 1e6, 100)
    >>> round(step_time(kind, 1, 1.0), 6)
    0.03
    """
    overhead, token = accelerator.step_overhead, size / accelerator.decode_rate
    full = accelerator.batch_size
    rate = utilisation * full / (overhead + full * token)
    batch = rate * overhead / (1.0 - rate * token)
    return 1.5 * (overhead + max(1.0, batch) * token)


def share_flow(graph: RangeGraph, most: int, flows: dict[tuple, dict]) -> PathPlan:
    """
    Return the plan that a flow stands for.

    Parameters
    ----------
    graph : RangeGraph
        Groups and links.
    most : int
        The bound, in units of flow.
    flows : dict
        As `cheapest_flow` returns them.
    """
    members: dict[tuple[int, DataCentre], list[Member]] = defaultdict(list)
    links: dict[tuple[int, DataCentre], dict[DataCentre, float]] = defaultdict(dict)
    for key in graph.groups:
        by_kind = flows.get(group_ends(key), {})
        flow = sum(by_kind.values()) * RATE_UNIT
        if flow <= 0:
            continue
        place = (key.layers.start, key.data_centre)
        members[place] += share_group(graph.groups[key], by_kind)
        if key.layers.start == 0:
            entries = links[(0, OUTSIDE)]
            entries[key.data_centre] = entries.get(key.data_centre, 0.0) + flow
    for link in graph.links:
        flow = flows.get(link_ends(link), {}).get("", 0) * RATE_UNIT
        if flow > 0:
            links[(link.boundary, link.source)][link.target] = flow
    return PathPlan(graph.layer_count, most * RATE_UNIT, dict(members), dict(links))


def share_group(group: list[Member], by_kind: dict[str, int]) -> list[Member]:
    """Return the members of a group that get a part of its flow."""
    rates: dict[str, float] = defaultdict(float)
    for member in group:
        rates[member.accelerator] += member.rate
    return [
        attrs.evolve(it, rate=it.rate * flow * RATE_UNIT / rates[it.accelerator])
        for it in group
        if (flow := by_kind.get(it.accelerator, 0)) > 0
    ]
