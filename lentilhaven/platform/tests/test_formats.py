import json
import math
import tempfile
import unittest
from pathlib import Path

from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.fleet.route_rule import RouteKind
from lentilhaven.gateway.tests.platform_testbed import sample_manifest, sample_settings
from lentilhaven.platform.engine_calls import decode_report
from lentilhaven.platform.manifest_format import decode_manifest
from lentilhaven.platform.replica_format import decode_replica
from lentilhaven.platform.request_head import (
    MAX_PART_ID_LENGTH,
    MAX_PROMPT_PARTS,
    decode_request_head,
    encode_request,
    gateway_headers,
)
from lentilhaven.platform.response_head import decode_response_head
from lentilhaven.platform.settings import SettingsFileError, read_settings

ENTRY = {
    "service": "gen",
    "address": "10.0.0.9:8080",
    "zone": "dc-a",
    "slots": 96,
    "state": "ready",
    "born": 1780,
    "kind": "large",
    "models": [{"name": "lentil-70", "version": 1, "adapters": []}],
    "layers": {"from": 20, "target": 31, "version": 1},
}


class ReplicaFormatTests(unittest.TestCase):
    def test_decodes_the_entry_of_an_engine(self):
        found = decode_replica("i-1", ENTRY)
        self.assertEqual(found.layers, LayerSpan(20, 31))
        self.assertEqual(
            (found.card, found.model, found.born), ("large", "lentil-70", 1780)
        )
        self.assertFalse(found.draining)

    def test_decodes_the_draining_state(self):
        self.assertTrue(decode_replica("i-1", ENTRY | {"state": "draining"}).draining)

    def test_rejects_an_entry_with_a_missing_or_invalid_field(self):
        for field in ("service", "address", "zone", "slots", "state"):
            for value in (None, 7.5, [], {}, True, ""):
                with self.subTest(field=field, value=value):
                    self.assertIsNone(decode_replica("i-1", ENTRY | {field: value}))
        for value in (None, 3, "text", [ENTRY]):
            self.assertIsNone(decode_replica("i-1", value))

    def test_rejects_an_entry_with_a_name_that_can_not_be_passed_on(self):
        """Guard against headers, datagrams and log lines that an entry breaks."""
        for text in ("\ud800", "a\r\nb", "a" * 1000):
            for field in ("service", "zone"):
                with self.subTest(field=field, text=text[:9]):
                    self.assertIsNone(decode_replica("i-1", ENTRY | {field: text}))
            self.assertIsNone(decode_replica(text, ENTRY))
            found = decode_replica("i-1", ENTRY | {"kind": text})
            self.assertEqual(found.card, "")
            found = decode_replica("i-1", ENTRY | {"models": [{"name": text}]})
            self.assertEqual(found.model, "")

    def test_rejects_numbers_beyond_those_of_json(self):
        """Guard against calculations that an entry of another writer ends."""
        for number in (2**53, 2**70, 10**400, math.inf, math.nan, -1):
            with self.subTest(number=number):
                self.assertIsNone(decode_replica("i-1", ENTRY | {"slots": number}))
                layers = {"from": 0, "target": number}
                found = decode_replica(
                    "i-1",
                    ENTRY | {"born": number, "sequence": number, "layers": layers},
                )
                self.assertEqual(
                    (found.born, found.sequence, found.layers), (0, 0, None)
                )

    def test_ignores_invalid_layers(self):
        for layers in (
            None,
            {},
            {"from": 3, "target": 3},
            {"from": -1, "target": 2},
            5,
        ):
            found = decode_replica("i-1", ENTRY | {"layers": layers})
            self.assertIsNone(found.layers)


class ManifestFormatTests(unittest.TestCase):
    def test_decodes_routes_services_keys_and_limits(self):
        manifest = decode_manifest(sample_manifest(7))
        self.assertEqual(manifest.version, 7)
        route = manifest.find_route("depot.example", "/draft/x")
        self.assertIs(route.kind, RouteKind.STREAMING)
        self.assertTrue(route.repeatable)
        self.assertFalse(manifest.find_route("depot.example", "/once/x").repeatable)
        self.assertEqual(manifest.services["gen"].engine.layers, 8)
        self.assertEqual(manifest.workspaces["key-of-depot"].name, "depot")
        self.assertEqual(manifest.limits.idle_timeout, 30.0)

    def test_decodes_a_traffic_split(self):
        value = sample_manifest()
        split = [{"service": "gen", "weight": 90}, {"service": "other", "weight": 10}]
        value["routes"][0]["traffic_split"] = split
        manifest = decode_manifest(value)
        route = manifest.find_route("depot.example", "/draft/x")
        self.assertEqual(route.services, (("gen", 90.0), ("other", 10.0)))

    def test_rejects_numbers_that_are_not_finite(self):
        """Guard against time limits that never pass."""
        for field in ("timeout_ms", "target_latency_ms", "gap_target_ms", "attempts"):
            for number in (math.nan, math.inf, 10**400):
                value = sample_manifest()
                value["routes"][0][field] = number
                with self.subTest(field=field, number=number):
                    with self.assertRaises((ValueError, OverflowError)):
                        decode_manifest(value)

    def test_requires_no_keys_without_tenants(self):
        value = sample_manifest()
        del value["tenants"]
        self.assertIsNone(decode_manifest(value).workspaces)


class SettingsTests(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "boot.json"
            path.write_text(text)
            return read_settings(str(path))

    def test_ignores_unknown_fields(self):
        found = self.read(json.dumps(sample_settings(0) | {"novelty": [1]}))
        self.assertEqual((found.vm, found.data_centre), ("front-dc-a-1", "dc-a"))
        self.assertEqual(found.grace, 8.0)

    def test_errors_name_the_file_and_the_field(self):
        value = sample_settings(0)
        del value["bounds"]["grace_s"]
        with self.assertRaisesRegex(SettingsFileError, "boot.json: field 'grace_s'"):
            self.read(json.dumps(value))
        with self.assertRaisesRegex(SettingsFileError, "boot.json"):
            self.read("{")
        with self.assertRaisesRegex(SettingsFileError, "nowhere.json"):
            read_settings("nowhere.json")


class RequestAndResponseHeadTests(unittest.TestCase):
    def test_drops_forged_gateway_headers(self):
        forged = {
            "Request-Id": "r",
            "Tenant": "other",
            "Hop-Count": "10.0.0.1:80=0-80",
            "Expect-Replica": "x",
            "Request-Priority": "0",
            "Authorization": "Bearer k",
            "Connection": "close, X-Private",
            "X-Private": "1",
            "X-Other": "2",
        }
        head = decode_request_head(forged)
        self.assertEqual(head.api_key, "k")
        self.assertEqual(
            dict(head.forwarded_headers), {"Request-Id": "r", "X-Other": "2"}
        )

    def test_encodes_a_request_to_an_endpoint(self):
        endpoint = Endpoint("i-1", "s", "10.0.0.1:80", "a")
        own = gateway_headers(endpoint, 1.2345, "depot", 3)
        head = decode_request_head({"Request-Id": "r"})
        text = encode_request("POST", "/a?b", head, 5, own).decode()
        self.assertTrue(text.startswith("POST /a?b HTTP/1.1\r\nRequest-Id: r\r\n"))
        for line in ("Deadline-Ms: 1234", "Expect-Replica: i-1", "Tenant: depot"):
            self.assertIn(f"\r\n{line}\r\n", text)
        self.assertIn("\r\nContent-Length: 5\r\n\r\n", text)

    def test_treats_invalid_numbers_as_missing(self):
        fields = {"Deadline-Ms": "soon", "Token-Count": "many", "Length-Hint": "-3"}
        head = decode_request_head(fields)
        self.assertEqual((head.timeout, head.prompt_tokens), (None, 0))
        self.assertEqual(head.length_hint, 0)

    def test_decodes_the_shared_parts_of_a_prompt(self):
        cases = {
            "": (),
            "5c1e:800": (),
            "5C1E:800, 91bd :410,e440:250": ("5c1e", "91bd"),
            "5c1e:800,5c1e:10,e440:250": ("5c1e",),
            "5c1e,:3,no hex:1,91bd:x,e440:250": ("5c1e", "91bd"),
        }
        for text, expected in cases.items():
            with self.subTest(text=text):
                head = decode_request_head({"Prompt-Prefix": text})
                self.assertEqual(head.prompt_parts, expected)

    def test_bounds_the_parts_of_a_prompt(self):
        entries = [f"{number:x}:1" for number in range(200)]
        head = decode_request_head({"Prompt-Prefix": ",".join(entries)})
        self.assertEqual(len(head.prompt_parts), MAX_PROMPT_PARTS)
        long_id = "a" * (MAX_PART_ID_LENGTH + 1)
        head = decode_request_head({"Prompt-Prefix": f"{long_id}:1,5c1e:1,e440:1"})
        self.assertEqual(head.prompt_parts, ("5c1e",))

    def test_recognises_the_guarantee_that_a_request_has_not_run(self):
        self.assertTrue(decode_response_head(503, [("Not-Executed", "1")]).not_executed)
        self.assertTrue(decode_response_head(421, []).not_executed)
        self.assertFalse(decode_response_head(503, []).not_executed)


class EngineReportTests(unittest.TestCase):
    def test_decodes_a_report(self):
        found = decode_report(
            {
                "busy": True,
                "sequence": 2,
                "kv_used": 5,
                "kv_total": 9,
                "pace": 2.5,
                "layers": {"from": 0, "target": 4},
                "stalled": [{"id": "r", "address": "10.0.0.2:80"}],
            }
        )
        self.assertEqual(
            (found.accepted_orders, found.busy, found.pace), (2, True, 2.5)
        )
        self.assertEqual(found.layers, LayerSpan(0, 4))
        self.assertEqual(found.stalled_requests, (("r", "10.0.0.2:80"),))

    def test_rejects_numbers_that_are_not_finite(self):
        """Guard against costs of chains that are no numbers any more."""
        for field in ("pace", "kv_used", "kv_total", "born", "sequence", "active"):
            for number in (math.nan, math.inf, 10**400):
                with self.subTest(field=field, number=number):
                    with self.assertRaises((ValueError, OverflowError)):
                        decode_report({field: number})
