"""Tests of path selection."""

import unittest
from collections import Counter

from hypothesis import given, settings, strategies as st

from lentilhaven.balancing.corrections import compute_corrections
from lentilhaven.balancing.path_chooser import PathChooser
from lentilhaven.balancing.path_policies import PATH_POLICIES
from lentilhaven.core import InvariantError, derive_random
from lentilhaven.core.ids import EndpointId
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.pipelines.range_group import LinkKey
from lentilhaven.pipelines.tests.test_bound import ACCELERATORS, DATA_CENTRES, pools
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.layer_range import LayerRange, covers_layers_once
from lentilhaven.tables.pool import Pool, PoolKind

SMALL = PathRequest(tokens=10.0)


class ChoiceTests(unittest.TestCase):
    @settings(derandomize=True, max_examples=40, deadline=None)
    @given(pools(), st.sampled_from(sorted(PATH_POLICIES)))
    def test_every_policy_covers_the_layers_once(self, pool, policy):
        chooser = PathChooser(PATH_POLICIES[policy])
        plan = chooser.plan(pool, None, (), 0.0)
        path = chooser.choose(plan, SMALL, derive_random(1))
        self.assertEqual(path is not None, plan.rate > 0)
        if path is not None:
            ranges = [member.layers for member in path]
            self.assertTrue(covers_layers_once(ranges, pool.layer_count))

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(pools())
    def test_draws_follow_the_flow(self, pool):
        chooser = PathChooser()
        plan = chooser.plan(pool, None, (), 0.0)
        if plan.rate == 0:
            return
        rng, uses = derive_random(1), Counter()
        for _ in range(400):
            path = chooser.choose(plan, PathRequest(), rng)
            uses.update(member.endpoint for member in path)
            chooser.loads.own_requests.update(member.endpoint for member in path)
        for member in plan.all_members():
            expected = 400 * member.rate / plan.rate
            self.assertAlmostEqual(uses[member.endpoint], expected, delta=20)

    @settings(derandomize=True, max_examples=25, deadline=None)
    @given(pools(), st.sampled_from(sorted(PATH_POLICIES)))
    def test_routers_together_never_over_commit_kv_memory(self, pool, policy):
        routers = [
            PathChooser(PATH_POLICIES[policy], loads=PathLoads(3)) for _ in range(3)
        ]
        rng, reserved = derive_random(1), Counter()
        size = PathRequest(tokens=1500.0)
        for step in range(60):
            router = routers[step % 3]
            plan = router.plan(pool, None, (), 0.0)
            path = router.choose(plan, size, rng)
            if path is None:
                continue
            router.loads.begin(path, size)
            for member in path:
                reserved[member.endpoint] += size.tokens * member.layers.size
                self.assertLessEqual(reserved[member.endpoint], member.kv_capacity)

    def test_reserving_too_much_breaks_an_invariant(self):
        chooser = PathChooser()
        pool = example_pool()
        plan = chooser.plan(pool, None, (), 0.0)
        path = chooser.choose(plan, SMALL, derive_random(1))
        with self.assertRaises(InvariantError):
            chooser.loads.begin(path, PathRequest(tokens=1e9))

    def test_a_slow_link_is_excluded_until_its_avoid_time_ends(self):
        chooser, pool = PathChooser(), example_pool()
        slow = LinkKey(6, "a", "b")
        chooser.timing.avoided_until[slow] = 5.0
        during = chooser.plan(pool, None, (), 1.0)
        self.assertNotIn("b", during.links.get((6, "a"), {}))
        chooser.plan(pool, None, (), 6.0)
        self.assertEqual(chooser.timing.slow_links(6.0), frozenset())

    def test_repair_replaces_only_the_lost_member(self):
        chooser, pool, rng = PathChooser(), example_pool(), derive_random(1)
        path = chooser.choose(chooser.plan(pool, None, (), 0.0), SMALL, rng)
        lost = {path[1].endpoint}
        plan = chooser.plan(pool, None, lost, 0.0)
        repaired = chooser.repair(plan, SMALL, path, lost, rng)
        self.assertEqual(repaired[0], path[0])
        self.assertNotIn(repaired[1].endpoint, lost)
        self.assertEqual(repaired[1].layers, path[1].layers)

    def test_each_router_applies_an_equal_share_of_a_correction(self):
        plan = PathChooser().plan(example_pool(), None, (), 0.0)
        reported = {member.endpoint: 1.0 for member in plan.all_members()}
        reported[EndpointId("e0")] = 9.0
        one = compute_corrections(plan, reported, 1)["e0"]
        many = compute_corrections(plan, reported, 100)["e0"]
        self.assertAlmostEqual(one, 100 * many)


def example_pool():
    """Return a pool with two endpoints per half of the model, in two data centres."""
    endpoints = [
        EndpointSpec(
            EndpointId(f"e{index}"),
            "",
            DATA_CENTRES[index % 2],
            LayerRange(0, 6) if index < 2 else LayerRange(6, 12),
            accelerator="new",
        )
        for index in range(4)
    ]
    return Pool(
        "p", PoolKind.ENGINE, endpoints, layer_count=12, accelerators=ACCELERATORS
    )
