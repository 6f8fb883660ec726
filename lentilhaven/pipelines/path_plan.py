"""Shares of the flow through a pool by endpoint and link."""

import math
from collections import defaultdict
from collections.abc import Collection

import attrs
import networkx

from lentilhaven.core.ids import DataCentre, EndpointId, ModelVersion
from lentilhaven.pipelines.endpoint_rate import DEFAULT_ACCELERATOR
from lentilhaven.pipelines.range_graph import (
    RATE_UNIT,
    SINK,
    SOURCE,
    RangeGraph,
    build_flow_network,
    build_graph,
    group_ends,
    link_ends,
    to_flow_units,
)
from lentilhaven.pipelines.range_group import GroupKey, GroupMember, LinkKey
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.pool import Pool

#: Number of segments into which the capacity of each accelerator in a group is
#: divided.  Costs rise from segment to segment, as delay rises with load, so that
#: the minimum-cost flow keeps delays low.
SEGMENT_COUNT = 10

#: Cost of one second of delay in the minimum-cost flow, whose costs are integers.
COST_PER_SECOND = 1_000_000

#: Factor by which the cost of the last segment is multiplied, because queues grow long
#: there.
LAST_SEGMENT_FACTOR = 3.0

#: Pseudo data centre of the client side, where every path starts.
CLIENT_SIDE = DataCentre("")


@attrs.frozen
class PathPlan:
    """
    Shares of the flow, equal for all routers with the same view of the pool.

    Attributes
    ----------
    layer_count : int
        Number of the model's layers.
    rate : float
        Bound of the pool, in generated tokens per second; 0 if there is no path.
    members : dict
        Lists of `GroupMember` with a share of the flow, by the layer boundary (index of
        their first layer) and data centre at which the members start.
    links : dict
        Flow to each next data centre, in generated tokens per second, by boundary
        and data centre; the first hop starts in `CLIENT_SIDE`.
    """

    layer_count: int
    rate: float
    members: dict[tuple[int, DataCentre], list[GroupMember]]
    links: dict[tuple[int, DataCentre], dict[DataCentre, float]]

    def all_members(self) -> list[GroupMember]:
        """Return all members with a share of the flow."""
        return [member for members in self.members.values() for member in members]


def plan_paths(
    pool: Pool,
    version: ModelVersion | None = None,
    mix: TrafficMix | None = None,
    unusable: Collection[EndpointId] = (),
    unusable_links: Collection[LinkKey] = (),
    load_fraction: float = 1.0,
) -> PathPlan:
    """
    Return the minimum-delay flow that carries a fraction of the bound.

    Parameters
    ----------
    pool : Pool
        A pool of engines.
    version : str or None
        Model version that an endpoint must hold; None accepts any version.
    mix : TrafficMix or None
        Mean request lengths; None for the defaults.
    unusable : collection of str
        Endpoints to exclude.
    unusable_links : collection of LinkKey
        Links to exclude.
    load_fraction : float
        Fraction of the bound that the flow carries.  A pool below full load
        needs its slow engines and links less.
    """
    graph = build_graph(pool, version, mix or TrafficMix(), unusable, unusable_links)
    network = build_flow_network(graph)
    max_flow = networkx.maximum_flow_value(network, SOURCE, SINK)
    if max_flow == 0:
        return PathPlan(graph.layer_count, 0.0, {}, {})
    flows = min_cost_flow(graph, network, max(1, round(max_flow * load_fraction)))
    return plan_from_flow(graph, max_flow, flows)


def min_cost_flow(
    graph: RangeGraph, network: networkx.DiGraph, value: int
) -> dict[tuple, dict]:
    """
    Return the minimum-cost flow of a given value.

    Parameters
    ----------
    graph : RangeGraph
        Groups and links of the pool.
    network : networkx.DiGraph
        Flow network of `graph`.
    value : int
        Value of the flow, in units of `RATE_UNIT`.

    Returns
    -------
    dict
        For each pair of vertices, the flow by accelerator name.  Links
        use the name ``""``.
    """
    cost_network = networkx.MultiDiGraph()
    cost_network.add_node(SOURCE, demand=-value)
    cost_network.add_node(SINK, demand=value)
    for start, stop, attributes in network.edges(data=True):
        key = attributes.get("key")
        if isinstance(key, GroupKey):
            add_segment_edges(cost_network, graph, key)
            continue
        latency = graph.links[key].latency if isinstance(key, LinkKey) else 0.0
        capacity = min(attributes.get("capacity", value), value)
        weight = round(latency * COST_PER_SECOND)
        cost_network.add_edge(start, stop, ("", 0), capacity=capacity, weight=weight)
    _, flow_by_vertex = networkx.network_simplex(cost_network)
    return {
        (start, stop): sum_by_accelerator(edges)
        for start, stops in flow_by_vertex.items()
        for stop, edges in stops.items()
    }


def sum_by_accelerator(edges: dict[tuple[str, int], int]) -> dict[str, int]:
    """
    Return the flow over parallel edges, summed by accelerator name.

    Examples
    --------
    >>> sum_by_accelerator({("old", 0): 2, ("old", 1): 1, ("new", 0): 4})
    {'old': 3, 'new': 4}
    """
    total: dict[str, int] = defaultdict(int)
    for (accelerator, _), value in edges.items():
        total[accelerator] += value
    return dict(total)


def add_segment_edges(
    cost_network: networkx.MultiDiGraph, graph: RangeGraph, key: GroupKey
) -> None:
    """Add parallel edges of rising cost for each accelerator of a group."""
    rates: dict[str, float] = defaultdict(float)
    for member in graph.groups[key]:
        rates[member.accelerator] += member.rate
    remaining = to_flow_units(sum(rates.values()))
    for name in sorted(rates):
        # Round up so that the segments together carry the group's whole capacity.
        capacity = min(remaining, math.ceil(rates[name] / RATE_UNIT))
        remaining -= capacity
        accelerator = graph.accelerators.get(name, DEFAULT_ACCELERATOR)
        for index in range(SEGMENT_COUNT):
            size = (
                capacity * (index + 1) // SEGMENT_COUNT
                - capacity * index // SEGMENT_COUNT
            )
            delay = marginal_delay(accelerator, key.layers.size, index)
            weight = round(delay * COST_PER_SECOND)
            edge = group_ends(key)
            cost_network.add_edge(*edge, (name, index), capacity=size, weight=weight)


def marginal_delay(accelerator: Accelerator, layer_count: int, index: int) -> float:
    """
    Return the delay that each token of a segment adds, in seconds.

    This is the marginal increase of the total delay of all tokens, so that the
    minimum-cost flow minimises the mean delay.  For the last segment it is multiplied
    by `LAST_SEGMENT_FACTOR`.

    Parameters
    ----------
    accelerator : Accelerator
        Accelerator of the segment.
    layer_count : int
        Number of layers that each endpoint holds.
    index : int
        Index of the segment, counted from 0.
    """
    low, high = index / SEGMENT_COUNT, (index + 1) / SEGMENT_COUNT
    increase = high * step_time(accelerator, layer_count, high)
    increase -= low * step_time(accelerator, layer_count, low)
    factor = LAST_SEGMENT_FACTOR if index == SEGMENT_COUNT - 1 else 1.0
    return increase * SEGMENT_COUNT * factor


def step_time(accelerator: Accelerator, layer_count: int, utilisation: float) -> float:
    """
    Return the mean time of a token in an engine, in seconds.

    The token waits half a step on average for the next step to start, and then takes
    part in that step.

    Parameters
    ----------
    accelerator : Accelerator
        Accelerator of the engine.
    layer_count : int
        Number of layers that the engine holds.
    utilisation : float
        Load as a fraction of the rate at a full batch.

    Examples
    --------
    >>> accelerator = Accelerator(1000.0, 10_000.0, 0.01, 10, 1e6, 100)
    >>> round(step_time(accelerator, 1, 1.0), 6)
    0.03
    """
    overhead, token = accelerator.step_overhead, layer_count / accelerator.decode_rate
    batch_size = accelerator.batch_size
    rate = utilisation * batch_size / (overhead + batch_size * token)
    # A step lasts overhead + batch * token, and batch is the number of tokens that
    # arrive in that time at the given rate; this is the solution of both equations.
    batch = rate * overhead / (1.0 - rate * token)
    return 1.5 * (overhead + max(1.0, batch) * token)


def plan_from_flow(
    graph: RangeGraph, max_flow: int, flows: dict[tuple, dict]
) -> PathPlan:
    """
    Return the plan that distributes requests according to a flow.

    Parameters
    ----------
    graph : RangeGraph
        Groups and links of the pool.
    max_flow : int
        Bound of the pool, in units of `RATE_UNIT`.
    flows : dict
        Flow by pair of vertices and accelerator, as `min_cost_flow` returns it.
    """
    members: dict[tuple[int, DataCentre], list[GroupMember]] = defaultdict(list)
    links: dict[tuple[int, DataCentre], dict[DataCentre, float]] = defaultdict(dict)
    for key in graph.groups:
        flow_by_accelerator = flows.get(group_ends(key), {})
        flow = sum(flow_by_accelerator.values()) * RATE_UNIT
        if flow <= 0:
            continue
        vertex = (key.layers.start, key.data_centre)
        members[vertex] += split_group_flow(graph.groups[key], flow_by_accelerator)
        if key.layers.start == 0:
            entry_flows = links[(0, CLIENT_SIDE)]
            entry_flows[key.data_centre] = entry_flows.get(key.data_centre, 0.0) + flow
    for link in graph.links:
        flow = flows.get(link_ends(link), {}).get("", 0) * RATE_UNIT
        if flow > 0:
            links[(link.boundary, link.source)][link.target] = flow
    return PathPlan(graph.layer_count, max_flow * RATE_UNIT, dict(members), dict(links))


def split_group_flow(
    group: list[GroupMember], flow_by_accelerator: dict[str, int]
) -> list[GroupMember]:
    """Return the members of a group that get a share of its flow as their rate."""
    rates: dict[str, float] = defaultdict(float)
    for member in group:
        rates[member.accelerator] += member.rate
    return [
        attrs.evolve(
            member, rate=member.rate * flow * RATE_UNIT / rates[member.accelerator]
        )
        for member in group
        if (flow := flow_by_accelerator.get(member.accelerator, 0)) > 0
    ]
