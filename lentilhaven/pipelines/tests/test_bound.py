"""Tests of the bound."""

import unittest

from hypothesis import given, settings, strategies as st
from scipy.optimize import linprog

from lentilhaven.core.ids import DataCentre, EndpointId, PoolName
from lentilhaven.pipelines.bound import bound_of
from lentilhaven.pipelines.path_plan import OUTSIDE, plan_paths
from lentilhaven.pipelines.range_graph import build_graph
from lentilhaven.pipelines.range_group import LinkKey
from lentilhaven.pipelines.traffic_mix import TrafficMix
from lentilhaven.tables.accelerator import Accelerator
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.layer_range import LayerRange
from lentilhaven.tables.link import Link
from lentilhaven.tables.pool import Pool, PoolKind

KINDS = {
    "old": Accelerator(4_000.0, 40_000.0, 0.003, 6, 60_000.0, 8),
    "new": Accelerator(20_000.0, 200_000.0, 0.002, 12, 400_000.0, 16),
}
CENTRES = [DataCentre("a"), DataCentre("b")]
RANGES = [(0, 4), (4, 8), (8, 12), (0, 6), (6, 12), (0, 8)]


@st.composite
def pools(draw):
    """Draw a small pool of mixed ranges and links."""
    count = draw(st.integers(1, 8))
    endpoints = [
        EndpointSpec(
            EndpointId(f"e{index}"),
            "",
            draw(st.sampled_from(CENTRES)),
            LayerRange(*draw(st.sampled_from(RANGES))),
            accelerator=draw(st.sampled_from(sorted(KINDS))),
        )
        for index in range(count)
    ]
    rates = st.sampled_from([50.0, 500.0, 5_000.0])
    links = [
        Link(source, target, 0.001, draw(rates))
        for source in CENTRES
        for target in CENTRES
        if draw(st.booleans())
    ]
    return Pool(
        PoolName("p"),
        PoolKind.ENGINE,
        endpoints,
        layer_count=12,
        accelerators=KINDS,
        links=links,
    )


def enumerate_paths(graph, path=(), position=0, centre=None):
    """Yield every path from a position on as a list of groups and links."""
    if position == graph.layer_count:
        yield list(path)
    for key in graph.groups:
        if key.layers.start != position:
            continue
        link = LinkKey(position, centre, key.data_centre)
        if centre is not None and link not in graph.links:
            continue
        hop = () if centre is None else (link,)
        longer = (*path, *hop, key)
        yield from enumerate_paths(graph, longer, key.layers.stop, key.data_centre)


def linear_bound(graph):
    """Return the bound as a linear program over all paths."""
    paths = list(enumerate_paths(graph))
    if not paths:
        return 0.0
    limits = {key: graph.capacity(key) for key in graph.groups}
    limits |= {key: it.rate for key, it in graph.links.items()}
    limits = {key: rate for key, rate in limits.items() if rate != float("inf")}
    rows = [[path.count(key) for path in paths] for key in limits]
    solved = linprog([-1.0] * len(paths), A_ub=rows, b_ub=list(limits.values()))
    return -solved.fun


class BoundTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(pools())
    def test_equals_a_linear_program_over_all_paths(self, pool):
        expected = linear_bound(build_graph(pool, None, TrafficMix()))
        # Capacities are rounded down to 0.1 tokens per second each.
        self.assertAlmostEqual(bound_of(pool).rate, expected, delta=2.0)

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(pools())
    def test_the_cut_adds_up_to_the_bound(self, pool):
        bound = bound_of(pool)
        total = sum(it.rate for it in [*bound.groups, *bound.links])
        self.assertAlmostEqual(total, bound.rate, delta=2.0)

    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(pools())
    def test_the_plan_carries_the_bound_within_capacities(self, pool):
        plan = plan_paths(pool)
        graph = build_graph(pool, None, TrafficMix())
        self.assertAlmostEqual(plan.rate, bound_of(pool).rate)
        capacity = {it.endpoint: it.rate for g in graph.groups.values() for it in g}
        for member in plan.all_members():
            self.assertLessEqual(member.rate, capacity[member.endpoint] + 0.11)
        entering = sum(plan.links.get((0, OUTSIDE), {}).values())
        self.assertAlmostEqual(entering, plan.rate, places=3)

    def test_a_lost_range_leaves_nothing(self):
        halves = [
            EndpointSpec(EndpointId("x"), "", CENTRES[0], LayerRange(0, 6)),
            EndpointSpec(EndpointId("y"), "", CENTRES[0], LayerRange(6, 12)),
        ]
        pool = Pool(PoolName("p"), PoolKind.ENGINE, halves, layer_count=12)
        self.assertGreater(bound_of(pool).rate, 0)
        self.assertEqual(bound_of(pool, unusable={EndpointId("y")}).rate, 0)
        self.assertEqual(plan_paths(pool, unusable={EndpointId("y")}).rate, 0)
