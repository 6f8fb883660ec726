import unittest

from lentilhaven.bench.soak.soak_callers import Attempt
from lentilhaven.bench.soak.soak_checks import Findings
from lentilhaven.bench.upgrade.manifest_probes import check_probe, check_reverted

#: Times at which the versions 1 to 4 were written; a route is in two versions.
WRITTEN_AT = {1: 0.0, 2: 10.0, 3: 20.0, 4: 30.0}


def make_probe(version, status, began):
    return Attempt(
        "r1",
        "probe",
        f"/v{version}/x",
        "depot",
        0,
        began=began,
        ended=began + 0.1,
        status=status,
    )


class ManifestInForceTests(unittest.TestCase):
    """Guard against a gateway that does not follow the manifest."""

    def find(self, version, status, began):
        findings = Findings()
        check_probe(make_probe(version, status, began), WRITTEN_AT, findings)
        return len(findings.texts)

    def test_new_route_must_be_there_in_time(self):
        self.assertEqual(self.find(2, 404, 11.9), 0)
        self.assertEqual(self.find(2, 404, 12.1), 1)
        self.assertEqual(self.find(2, 200, 12.1), 0)

    def test_dropped_route_must_be_gone_in_time(self):
        self.assertEqual(self.find(1, 200, 21.9), 0)
        self.assertEqual(self.find(1, 200, 22.1), 1)
        self.assertEqual(self.find(1, 404, 22.1), 0)

    def test_route_may_be_gone_at_once(self):
        self.assertEqual(self.find(1, 404, 19.8), 1)
        self.assertEqual(self.find(1, 404, 19.95), 0)

    def test_other_statuses_say_nothing(self):
        self.assertEqual(self.find(2, 503, 15.0), 0)
        self.assertEqual(self.find(1, 0, 25.0), 0)


class RevertedManifestTests(unittest.TestCase):
    """Guard against a gateway that returns to an older manifest."""

    def find(self, *probes):
        findings = Findings()
        check_reverted([make_probe(*it) for it in probes], WRITTEN_AT, findings)
        return len(findings.texts)

    def test_added_route_that_is_gone_again(self):
        self.assertEqual(self.find((2, 200, 10.5), (2, 404, 11.5)), 1)
        self.assertEqual(self.find((2, 404, 10.5), (2, 200, 11.5)), 0)

    def test_slack_after_the_effect(self):
        self.assertEqual(self.find((2, 200, 10.5), (2, 404, 10.7)), 0)

    def test_dropped_route_that_is_back(self):
        self.assertEqual(self.find((3, 200, 20.5), (1, 200, 21.0)), 1)
        self.assertEqual(self.find((1, 200, 5.0), (1, 404, 20.5), (1, 200, 21.0)), 1)
        self.assertEqual(self.find((2, 200, 20.5), (1, 200, 21.0)), 0)

    def test_newer_route_that_is_gone_after_a_drop(self):
        # The drop of the first route shows the third version, which has the second.
        self.assertEqual(self.find((1, 200, 5.0), (1, 404, 20.5), (3, 404, 21.0)), 1)

    def test_correct_sequence(self):
        self.assertEqual(
            self.find(
                (1, 200, 5.0),
                (2, 200, 10.5),
                (3, 404, 20.1),
                (1, 200, 20.3),
                (1, 404, 21.0),
                (3, 200, 21.5),
                (2, 404, 30.5),
                (4, 200, 31.0),
            ),
            0,
        )
