"""Tests of the bound and of path plans."""

import unittest

from hypothesis import given, settings, strategies as st
from scipy.optimize import linprog

from lentilhaven.core.ids import DataCentre, EndpointId, PoolName
from lentilhaven.pipelines.bound import bound_of
from lentilhaven.pipelines.path_plan import CLIENT_SIDE, plan_paths
from lentilhaven.pipelines.range_graph import build_graph
from lentilhaven.pipelines.range_group import LinkKey
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.layer_range import LayerRange
from lentilhaven.tables.link import Link
from lentilhaven.tables.pool import Pool, PoolKind

ACCELERATORS = {
    "old": Accelerator(4_000.0, 40_000.0, 0.003, 6, 60_000.0, 8),
    "new": Accelerator(20_000.0, 200_000.0, 0.002, 12, 400_000.0, 16),
}
DATA_CENTRES = [DataCentre("a"), DataCentre("b")]
RANGES = [(0, 4), (4, 8), (8, 12), (0, 6), (6, 12), (0, 8)]


@st.composite
def pools(draw):
    """Draw a small pool with mixed layer ranges, accelerators and links."""
    count = draw(st.integers(1, 8))
    endpoints = [
        EndpointSpec(
            EndpointId(f"e{index}"),
            "",
            draw(st.sampled_from(DATA_CENTRES)),
            LayerRange(*draw(st.sampled_from(RANGES))),
            accelerator=draw(st.sampled_from(sorted(ACCELERATORS))),
        )
        for index in range(count)
    ]
    rates = st.sampled_from([50.0, 500.0, 5_000.0])
    links = [
        Link(source, target, 0.001, draw(rates))
        for source in DATA_CENTRES
        for target in DATA_CENTRES
        if draw(st.booleans())
    ]
    return Pool(
        PoolName("p"),
        PoolKind.ENGINE,
        endpoints,
        layer_count=12,
        accelerators=ACCELERATORS,
        links=links,
    )


def enumerate_paths(graph, path=(), position=0, data_centre=None):
    """Yield every path that extends a prefix, as a list of group and link keys."""
    if position == graph.layer_count:
        yield list(path)
    for key in graph.groups:
        if key.layers.start != position:
            continue
        link = LinkKey(position, data_centre, key.data_centre)
        if data_centre is not None and link not in graph.links:
            continue
        hop = () if data_centre is None else (link,)
        extended = (*path, *hop, key)
        yield from enumerate_paths(graph, extended, key.layers.stop, key.data_centre)


def linear_bound(graph):
    """Return the bound, computed as a linear program over all paths."""
    paths = list(enumerate_paths(graph))
    if not paths:
        return 0.0
    capacities = {key: graph.capacity(key) for key in graph.groups}
    capacities |= {key: link.rate for key, link in graph.links.items()}
    capacities = {
        key: capacity
        for key, capacity in capacities.items()
        if capacity != float("inf")
    }
    rows = [[path.count(key) for path in paths] for key in capacities]
    solution = linprog([-1.0] * len(paths), A_ub=rows, b_ub=list(capacities.values()))
    return -solution.fun


class BoundTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(pools())
    def test_equals_a_linear_program_over_all_paths(self, pool):
        expected = linear_bound(build_graph(pool, None, TrafficMix()))
        # Each capacity is rounded down to a multiple of 0.1 tokens per second.
        self.assertAlmostEqual(bound_of(pool).rate, expected, delta=2.0)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(pools())
    def test_the_cut_adds_up_to_the_bound(self, pool):
        bound = bound_of(pool)
        total = sum(edge.rate for edge in [*bound.groups, *bound.links])
        self.assertAlmostEqual(total, bound.rate, delta=2.0)

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(pools())
    def test_the_plan_carries_the_bound_within_capacities(self, pool):
        plan = plan_paths(pool)
        graph = build_graph(pool, None, TrafficMix())
        self.assertAlmostEqual(plan.rate, bound_of(pool).rate)
        capacity = {
            member.endpoint: member.rate
            for members in graph.groups.values()
            for member in members
        }
        for member in plan.all_members():
            self.assertLessEqual(member.rate, capacity[member.endpoint] + 0.11)
        entering = sum(plan.links.get((0, CLIENT_SIDE), {}).values())
        self.assertAlmostEqual(entering, plan.rate, places=3)

    def test_bound_is_zero_if_a_range_has_no_endpoint(self):
        halves = [
            EndpointSpec(EndpointId("x"), "", DATA_CENTRES[0], LayerRange(0, 6)),
            EndpointSpec(EndpointId("y"), "", DATA_CENTRES[0], LayerRange(6, 12)),
        ]
        pool = Pool(PoolName("p"), PoolKind.ENGINE, halves, layer_count=12)
        self.assertGreater(bound_of(pool).rate, 0)
        self.assertEqual(bound_of(pool, unusable={EndpointId("y")}).rate, 0)
        self.assertEqual(plan_paths(pool, unusable={EndpointId("y")}).rate, 0)
