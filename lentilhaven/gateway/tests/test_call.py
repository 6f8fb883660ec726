import unittest

import attrs

from lentilhaven.fleet.manifest import Manifest
from lentilhaven.gateway.call import Call
from lentilhaven.gateway.tests.platform_testbed import sample_manifest
from lentilhaven.platform.manifest_format import decode_manifest
from lentilhaven.platform.request_head import RequestHead
from lentilhaven.standins.platform.sample_files import HOST


def make_call(**other):
    """Return a request of the workspace `depot`."""
    manifest: Manifest = decode_manifest(sample_manifest())
    fields = {
        "method": "POST",
        "target": "/look/7",
        "head": RequestHead("r1"),
        "body": b"count 7",
        "route": manifest.find_route(HOST, "/look/7"),
        "service": "stock",
        "workspace": "depot",
        "priority": 1,
        "arrived": 0.0,
        "deadline": 1.0,
        "manifest_version": 1,
    }
    return Call(**{**fields, **other})


class DigestTests(unittest.TestCase):
    """Guard against requests that are taken for each other."""

    def test_attempts_of_a_caller_have_the_same_digest(self):
        again = make_call(head=RequestHead("r2"), arrived=5.0, manifest_version=2)
        self.assertEqual(make_call().digest, again.digest)

    def test_each_part_of_the_identity_counts(self):
        route = make_call().route
        changes = (
            {"workspace": "yard"},
            {"method": "GET"},
            {"target": "/look/8"},
            {"target": "/look/7?x=1"},
            {"body": b"count 8"},
            {"body": b""},
            {"workspace": "depo", "method": "tPOST"},
            {"route": attrs.evolve(route, host="other.example")},
        )
        found = {make_call(**change).digest for change in changes}
        self.assertEqual(len(found | {make_call().digest}), len(changes) + 1)
