import unittest

from hypothesis import given, settings, strategies as st

from lentilhaven.orders import EndpointReport, WaveRules, next_wave
from lentilhaven.orders.endpoint_order import Phase
from lentilhaven.tables import LayerRange


def make_report(name, start, phase=Phase.SERVING, version="v1"):
    return EndpointReport(name, LayerRange(start, start + 1), phase, version, "v2")


REPORTS = st.lists(
    st.tuples(st.integers(0, 2), st.sampled_from(Phase), st.sampled_from(["v1", "v2"])),
    max_size=24,
).map(
    lambda drawn: [make_report(f"e{i:02}", *fields) for i, fields in enumerate(drawn)]
)


class WaveTests(unittest.TestCase):
    def test_takes_one_replica_of_each_range_first(self):
        reports = [make_report(f"{r}{i}", i) for r in "abcd" for i in range(3)]
        wave = next_wave(
            reports, set(), WaveRules(max_unavailable=0.5, max_concurrent_loads=4)
        )
        self.assertEqual(wave, ["a0", "a1", "a2", "b0"])

    def test_never_takes_the_last_replica_of_a_range(self):
        self.assertEqual(next_wave([make_report("a", 0)], set(), WaveRules()), [])

    def test_waits_for_draining_endpoints(self):
        reports = [make_report(name, 0) for name in "abcd"]
        self.assertEqual(next_wave(reports, {"a"}, WaveRules()), [])

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(REPORTS, st.floats(0, 1), st.integers(0, 6))
    def test_limits_hold_for_any_pool(self, reports, max_out, max_loads):
        rules = WaveRules(max_out, max_loads)
        wave = next_wave(reports, set(), rules)
        loading = sum(it.phase is Phase.LOADING for it in reports)
        self.assertLessEqual(len(wave) + loading, max(loading, max_loads))
        for start in range(3):
            group = [it for it in reports if it.layers.start == start]
            chosen = [it for it in group if it.endpoint in wave]
            serving = [it for it in group if it.phase is Phase.SERVING]
            self.assertTrue(all(it.outdated for it in chosen))
            if chosen:
                out = len(group) - len(serving) + len(chosen)
                self.assertLessEqual(out, max(1, len(group) * max_out))
                self.assertGreater(len(serving), len(chosen))
