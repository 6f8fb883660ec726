"""The graph of layer ranges and links of a pool."""

from collections import defaultdict
from collections.abc import Collection, Iterator

import attrs
import networkx

from lentilhaven.core.ids import DataCentre, EndpointId, ModelVersion
from lentilhaven.pipelines.endpoint_rate import (
    accelerator_of,
    endpoint_rate,
    shortest_step,
)
from lentilhaven.pipelines.range_group import GroupKey, LinkKey, Member
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.pool import Pool

#: Ends of every path.
SOURCE, SINK = "source", "sink"

#: Capacities are whole multiples of this many tokens per second.
RATE_UNIT = 0.1

#: Round trip that stands for a pool without any pipeline, in seconds.
NO_ROUND_TRIP = 1.0


@attrs.frozen
class LinkRate:
    """
    What one generated token may cost on a link.

    Attributes
    ----------
    latency : float
        Seconds, one way.
    rate : float
        Generated tokens per second.
    """

    latency: float
    rate: float


@attrs.frozen
class RangeGraph:
    """
    Groups and links with their capacities.

    Attributes
    ----------
    layer_count : int
        Number of the model's layers.
    groups : dict
        List of `Member` by `GroupKey`; a member's rate is its capacity.
    links : dict
        `LinkRate` by `LinkKey`.
    accelerators : dict
        `Accelerator` by name; a missing one is unknown.
    """

    layer_count: int
    groups: dict[GroupKey, list[Member]]
    links: dict[LinkKey, LinkRate]
    accelerators: dict[str, Accelerator] = attrs.field(factory=dict)

    def capacity(self, key: GroupKey) -> float:
        """Return the tokens per second of a whole group."""
        return sum(member.rate for member in self.groups[key])


def build_graph(
    pool: Pool,
    version: ModelVersion | None,
    mix: TrafficMix,
    unusable: Collection[EndpointId] = (),
    unusable_links: Collection[LinkKey] = (),
) -> RangeGraph:
    """
    Return the graph of a pool.

    Parameters
    ----------
    pool : Pool
        A pool of engines.
    version : str or None
        Only endpoints that hold this version count; None for all.
    mix : TrafficMix
        Mean request.
    unusable : collection of str
        Endpoints left out besides those that are leaving.
    unusable_links : collection of LinkKey
        Links left out.
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
    links = {key: it for key, it in links.items() if key not in unusable_links}
    round_trip = least_round_trip(pool, grouped, links)
    groups = {
        key: [make_member(pool, spec, key, mix, round_trip) for spec in grouped[key]]
        for key in sorted(grouped)
    }
    return RangeGraph(pool.layer_count, groups, links, pool.accelerators)


def make_member(
    pool: Pool, spec: EndpointSpec, key: GroupKey, mix: TrafficMix, round_trip: float
) -> Member:
    """Return a member with its capacity."""
    kind = accelerator_of(pool, spec)
    rate = endpoint_rate(kind, key.layers.size, mix, round_trip)
    return Member(
        spec.id,
        key.layers,
        key.data_centre,
        rate,
        kind.kv_capacity,
        spec.accelerator,
    )


def find_links(
    pool: Pool, groups: list[GroupKey], mix: TrafficMix
) -> dict[LinkKey, LinkRate]:
    """
    Return the links that join the groups at each boundary.

    A pool that lists no links has unlimited ones.  Otherwise a missing link
    between data centres is not used; one inside a data centre is unlimited.
    """
    listed = {(link.source, link.target): link for link in pool.links}
    free = LinkRate(0.0, float("inf"))
    found: dict[LinkKey, LinkRate] = {}
    for key in possible_links(groups, pool.layer_count):
        link = listed.get((key.source, key.target))
        if link is not None:
            rate = link.rate / (1.0 + mix.prompt_ratio)
            found[key] = LinkRate(link.latency, rate)
        elif not listed or key.source == key.target:
            found[key] = free
    return found


def possible_links(groups: list[GroupKey], layer_count: int) -> Iterator[LinkKey]:
    """Yield each pair of data centres that could hand over at a boundary."""
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


def least_round_trip(
    pool: Pool,
    groups: dict[GroupKey, list[EndpointSpec]],
    links: dict[LinkKey, LinkRate],
) -> float:
    """Return the least seconds that a token takes through any pipeline."""
    graph = networkx.DiGraph()
    for key, specs in groups.items():
        kinds = [accelerator_of(pool, spec) for spec in specs]
        step = min(shortest_step(kind, key.layers.size) for kind in kinds)
        graph.add_edge(*group_ends(key), weight=step)
        add_terminals(graph, key, pool.layer_count, weight=0.0)
    for link_key, link in links.items():
        graph.add_edge(*link_ends(link_key), weight=link.latency)
    try:
        return networkx.dijkstra_path_length(graph, SOURCE, SINK)
    except (networkx.NetworkXNoPath, networkx.NodeNotFound):
        return NO_ROUND_TRIP


def group_ends(key: GroupKey) -> tuple:
    """Return the two vertices that a group joins."""
    start = ("in", key.layers.start, key.data_centre)
    return start, ("out", key.layers.stop, key.data_centre)


def link_ends(key: LinkKey) -> tuple:
    """Return the two vertices that a link joins."""
    return ("out", key.boundary, key.source), ("in", key.boundary, key.target)


def add_terminals(
    graph: networkx.DiGraph, key: GroupKey, layer_count: int, **attributes: float
) -> None:
    """Join a group that holds the first or last layer to the source or sink."""
    start, stop = group_ends(key)
    if key.layers.start == 0:
        graph.add_edge(SOURCE, start, **attributes)
    if key.layers.stop == layer_count:
        graph.add_edge(stop, SINK, **attributes)


def whole_units(rate: float) -> int:
    """
    Return a rate in units of `RATE_UNIT`, rounded down.

    Examples
    --------
    >>> whole_units(2.55)
    25
    """
    return int(rate / RATE_UNIT + 1e-9)


def flow_graph(graph: RangeGraph) -> networkx.DiGraph:
    """Return the graph with whole capacities; an unlimited edge has none."""
    flow = networkx.DiGraph()
    flow.add_nodes_from([SOURCE, SINK])
    for key in graph.groups:
        capacity = whole_units(graph.capacity(key))
        flow.add_edge(*group_ends(key), capacity=capacity, key=key)
        add_terminals(flow, key, graph.layer_count)
    for link, limits in graph.links.items():
        flow.add_edge(*link_ends(link), key=link)
        if limits.rate != float("inf"):
            flow.edges[link_ends(link)]["capacity"] = whole_units(limits.rate)
    return flow
