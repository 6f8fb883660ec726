"""Graph of the layer ranges and links of a pool, and its flow network."""

from collections import defaultdict
from collections.abc import Collection, Iterator

import attrs
import networkx

from lentilhaven.core.ids import DataCentre, EndpointId, ModelVersion
from lentilhaven.pipelines.endpoint_rate import (
    accelerator_of,
    endpoint_rate,
    min_step_time,
)
from lentilhaven.pipelines.range_group import GroupKey, GroupMember, LinkKey
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.pool import Pool

#: Vertices at which every path starts and ends.
SOURCE, SINK = "source", "sink"

#: Unit of edge capacities, in tokens per second; capacities are integers.
RATE_UNIT = 0.1

#: Time of a token through a pipeline that is assumed for a pool without a complete one,
#: in seconds.
DEFAULT_ROUND_TRIP = 1.0


@attrs.frozen
class LinkPerformance:
    """
    Latency and capacity of a link.

    Attributes
    ----------
    latency : float
        One-way latency, in seconds.
    rate : float
        Capacity, in generated tokens per second.
    """

    latency: float
    rate: float


@attrs.frozen
class RangeGraph:
    """
    Groups of endpoints and links of a pool, with their capacities.

    Attributes
    ----------
    layer_count : int
        Number of the model's layers.
    groups : dict
        List of `GroupMember` by `GroupKey`; a member's rate is its capacity.
    links : dict
        `LinkPerformance` by `LinkKey`.
    accelerators : dict
        `Accelerator` by name; `DEFAULT_ACCELERATOR` replaces a missing one.
    """

    layer_count: int
    groups: dict[GroupKey, list[GroupMember]]
    links: dict[LinkKey, LinkPerformance]
    accelerators: dict[str, Accelerator] = attrs.field(factory=dict)

    def capacity(self, key: GroupKey) -> float:
        """Return the combined rate of a group, in generated tokens per second."""
        return sum(member.rate for member in self.groups[key])


def build_graph(
    pool: Pool,
    version: ModelVersion | None,
    mix: TrafficMix,
    unusable: Collection[EndpointId] = (),
    unusable_links: Collection[LinkKey] = (),
) -> RangeGraph:
    """
    Return the range graph of a pool.

    Parameters
    ----------
    pool : Pool
        A pool of engines.
    version : str or None
        Model version that an endpoint must hold; None accepts any version.
    mix : TrafficMix
        Mean request lengths.
    unusable : collection of str
        Endpoints to exclude, in addition to those that are leaving.
    unusable_links : collection of LinkKey
        Links to exclude.
    """
    specs = [
        spec
        for spec in pool.endpoints
        if spec.layers is not None
        and spec.id not in unusable
        and not spec.leaving
        and version in (None, spec.version)
    ]
    grouped: dict[GroupKey, list[EndpointSpec]] = defaultdict(list)
    for spec in specs:
        if spec.layers is not None:
            grouped[GroupKey(spec.layers, spec.data_centre)].append(spec)
    links = find_links(pool, sorted(grouped), mix)
    links = {key: link for key, link in links.items() if key not in unusable_links}
    round_trip = min_round_trip(pool, grouped, links)
    groups = {
        key: [make_member(pool, spec, key, mix, round_trip) for spec in grouped[key]]
        for key in sorted(grouped)
    }
    return RangeGraph(pool.layer_count, groups, links, pool.accelerators)


def make_member(
    pool: Pool, spec: EndpointSpec, key: GroupKey, mix: TrafficMix, round_trip: float
) -> GroupMember:
    """Return an endpoint as a member of its group, with its capacity as the rate."""
    accelerator = accelerator_of(pool, spec)
    rate = endpoint_rate(accelerator, key.layers.size, mix, round_trip)
    return GroupMember(
        spec.id,
        key.layers,
        key.data_centre,
        rate,
        accelerator.kv_capacity,
        spec.accelerator,
    )


def find_links(
    pool: Pool, groups: list[GroupKey], mix: TrafficMix
) -> dict[LinkKey, LinkPerformance]:
    """
    Return the links that connect groups at each layer boundary.

    If the pool table lists no links, all links are unlimited.  Otherwise an
    unlisted link between data centres is not used, and an unlisted link inside a
    data centre is unlimited.
    """
    listed = {(link.source, link.target): link for link in pool.links}
    unlimited = LinkPerformance(0.0, float("inf"))
    found: dict[LinkKey, LinkPerformance] = {}
    for key in possible_links(groups, pool.layer_count):
        link = listed.get((key.source, key.target))
        if link is not None:
            # The activations of prompt tokens use the link too.
            rate = link.rate / (1.0 + mix.prompt_ratio)
            found[key] = LinkPerformance(link.latency, rate)
        elif not listed or key.source == key.target:
            found[key] = unlimited
    return found


def possible_links(groups: list[GroupKey], layer_count: int) -> Iterator[LinkKey]:
    """
    Yield a link for each pair of data centres that can connect at a boundary.

    The link's source has a group that stops at the boundary, and its target has a group
    that starts there; both may be the same data centre.
    """
    sources: dict[int, set[DataCentre]] = defaultdict(set)
    targets: dict[int, set[DataCentre]] = defaultdict(set)
    for key in groups:
        sources[key.layers.stop].add(key.data_centre)
        targets[key.layers.start].add(key.data_centre)
    for boundary in sorted(sources):
        if boundary == layer_count:
            continue
        for source in sorted(sources[boundary]):
            for target in sorted(targets[boundary]):
                yield LinkKey(boundary, source, target)


def min_round_trip(
    pool: Pool,
    groups: dict[GroupKey, list[EndpointSpec]],
    links: dict[LinkKey, LinkPerformance],
) -> float:
    """
    Return the shortest time of a token through any pipeline, in seconds.

    This is the sum of one step at each stage and of the one-way latencies of the links
    between the stages.
    """
    graph = networkx.DiGraph()
    for key, specs in groups.items():
        accelerators = [accelerator_of(pool, spec) for spec in specs]
        step = min(
            min_step_time(accelerator, key.layers.size) for accelerator in accelerators
        )
        graph.add_edge(*group_ends(key), weight=step)
        add_terminal_edges(graph, key, pool.layer_count, weight=0.0)
    for link_key, link in links.items():
        graph.add_edge(*link_ends(link_key), weight=link.latency)
    try:
        return networkx.dijkstra_path_length(graph, SOURCE, SINK)
    except (networkx.NetworkXNoPath, networkx.NodeNotFound):
        return DEFAULT_ROUND_TRIP


def group_ends(key: GroupKey) -> tuple:
    """
    Return the two vertices that the edge of a group connects.

    A vertex is ``"in"`` (entry of a group) or ``"out"`` (exit of a group), a layer
    boundary (index of the first layer after it) and a data centre.
    """
    start = ("in", key.layers.start, key.data_centre)
    return start, ("out", key.layers.stop, key.data_centre)


def link_ends(key: LinkKey) -> tuple:
    """
    Return the two vertices that the edge of a link connects.

    The edge leads from the exit of the groups that stop at the link's boundary to the
    entry of the groups that start there.
    """
    return ("out", key.boundary, key.source), ("in", key.boundary, key.target)


def add_terminal_edges(
    graph: networkx.DiGraph, key: GroupKey, layer_count: int, **attributes: float
) -> None:
    """Connect a group with the first or last layer to the source or sink."""
    start, stop = group_ends(key)
    if key.layers.start == 0:
        graph.add_edge(SOURCE, start, **attributes)
    if key.layers.stop == layer_count:
        graph.add_edge(stop, SINK, **attributes)


def to_flow_units(rate: float) -> int:
    """
    Return a rate in units of `RATE_UNIT`, rounded down but for floating-point errors.

    Examples
    --------
    >>> to_flow_units(2.55)
    25
    """
    return int(rate / RATE_UNIT + 1e-9)


def build_flow_network(graph: RangeGraph) -> networkx.DiGraph:
    """Return the flow network; an unlimited edge has no capacity attribute."""
    network = networkx.DiGraph()
    network.add_nodes_from([SOURCE, SINK])
    for key in graph.groups:
        capacity = to_flow_units(graph.capacity(key))
        network.add_edge(*group_ends(key), capacity=capacity, key=key)
        add_terminal_edges(network, key, graph.layer_count)
    for link, performance in graph.links.items():
        network.add_edge(*link_ends(link), key=link)
        if performance.rate != float("inf"):
            network.edges[link_ends(link)]["capacity"] = to_flow_units(performance.rate)
    return network
