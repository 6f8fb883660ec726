"""How a pool's flow is shared between endpoints and links."""

from collections import defaultdict
from collections.abc import Collection

import attrs
import networkx

from lentilhaven.core.ids import DataCentre, EndpointId, ModelVersion
from lentilhaven.pipelines.range_graph import (
    RATE_UNIT,
    SINK,
    SOURCE,
    RangeGraph,
    build_graph,
    flow_graph,
    group_ends,
    link_ends,
)
from lentilhaven.pipelines.range_group import GroupKey, LinkKey, Member
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.pool import Pool

#: Parts into which a group's capacity is cut, each dearer than the one before,
#: so that the cheapest flow loads all groups alike.
SEGMENTS = 10

#: Cost of the first segment of a group.
SEGMENT_COST = 100

#: Cost of a second of latency on a link.
LATENCY_COST = 10_000

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
        The pool's bound, in generated tokens per second.
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
) -> PathPlan:
    """
    Return a maximum flow that loads groups alike and prefers fast links.

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
    """
    graph = build_graph(pool, version, mix or TrafficMix(), unusable, unusable_links)
    flow = flow_graph(graph)
    value = networkx.maximum_flow_value(flow, SOURCE, SINK)
    if value == 0:
        return PathPlan(graph.layer_count, 0.0, {}, {})
    return share_flow(graph, value, cheapest_flow(graph, flow, value))


def cheapest_flow(graph: RangeGraph, flow: networkx.DiGraph, value: int) -> dict:
    """
    Return the cheapest flow of a given value, by pair of vertices.

    Parameters
    ----------
    graph : RangeGraph
        Groups and links.
    flow : networkx.DiGraph
        The same with whole capacities.
    value : int
        Units of flow.
    """
    costs = networkx.MultiDiGraph()
    costs.add_node(SOURCE, demand=-value)
    costs.add_node(SINK, demand=value)
    for start, stop, attributes in flow.edges(data=True):
        capacity = min(attributes.get("capacity", value), value)
        key = attributes.get("key")
        if isinstance(key, GroupKey):
            add_segments(costs, start, stop, attributes["capacity"])
            continue
        latency = graph.links[key].latency if isinstance(key, LinkKey) else 0.0
        weight = round(latency * LATENCY_COST)
        costs.add_edge(start, stop, capacity=capacity, weight=weight)
    _, by_vertex = networkx.network_simplex(costs)
    return {
        (start, stop): sum(edges.values())
        for start, stops in by_vertex.items()
        for stop, edges in stops.items()
    }


def add_segments(
    costs: networkx.MultiDiGraph, start: object, stop: object, capacity: int
) -> None:
    """Add a group as parallel edges of rising cost."""
    for index in range(SEGMENTS):
        part = capacity * (index + 1) // SEGMENTS - capacity * index // SEGMENTS
        weight = SEGMENT_COST * (2 * index + 1)
        costs.add_edge(start, stop, capacity=part, weight=weight)


def share_flow(graph: RangeGraph, value: int, flows: dict) -> PathPlan:
    """Return the plan that a flow stands for."""
    members: dict[tuple[int, DataCentre], list[Member]] = defaultdict(list)
    links: dict[tuple[int, DataCentre], dict[DataCentre, float]] = defaultdict(dict)
    for key, group in graph.groups.items():
        flow = flows.get(group_ends(key), 0) * RATE_UNIT
        if flow <= 0:
            continue
        used = flow / graph.capacity(key)
        place = (key.layers.start, key.data_centre)
        members[place] += [attrs.evolve(it, rate=it.rate * used) for it in group]
        if key.layers.start == 0:
            entries = links[(0, OUTSIDE)]
            entries[key.data_centre] = entries.get(key.data_centre, 0.0) + flow
    for link in graph.links:
        flow = flows.get(link_ends(link), 0) * RATE_UNIT
        if flow > 0:
            links[(link.boundary, link.source)][link.target] = flow
    return PathPlan(graph.layer_count, value * RATE_UNIT, dict(members), dict(links))
