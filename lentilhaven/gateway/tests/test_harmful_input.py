"""Input that ends a task of each gateway that reads it."""

import asyncio
import json
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from lentilhaven.gateway import peer_relay
from lentilhaven.gateway.tests.platform_testbed import (
    engine,
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    sample_settings,
)
from lentilhaven.platform.settings import SettingsFileError, read_settings
from lentilhaven.standins.platform.fake_replica import FakeReplica
from lentilhaven.standins.platform.sample_files import engine_entry, route_entry

#: Seconds within which gateways have read what was written.
READ_TIME = 4.0

#: Seconds within which empty engines are placed.
PLACEMENT_TIME = 12.0


def manifest_with_route(version, name, **other):
    """Return a manifest with one more route to the plain service."""
    manifest = sample_manifest(version, **other)
    manifest["routes"].append(route_entry(name, "safe", "stock"))
    return manifest


def manifest_with_engine(version, **engine_fields):
    """Return a manifest with other fields of its engines."""
    services = [
        {"name": "gen", "engine": engine_entry(**engine_fields)},
        {"name": "stock", "health_path": "/healthz"},
    ]
    return sample_manifest(version, services=services)


def empty_engines():
    """Return engines without layers, enough for a chain."""
    return [engine(f"e{number}", 0, 0) for number in range(4)]


class ManifestTests(unittest.TestCase):
    """Guard against a manifest after which no other one is read, or nothing placed."""

    def test_manifest_after_one_that_cannot_be_read_is_adopted(self):
        async def scenario(bed):
            broken = manifest_with_route(2, "broken")
            broken["services"][1]["max_connections"] = float("inf")
            bed.store.put("config", "main", broken)
            await asyncio.sleep(READ_TIME)
            bed.store.put("config", "main", manifest_with_route(3, "extra"))
            await asyncio.sleep(READ_TIME)
            return [(await bed.call("/extra/1", gateway=it)).status for it in (0, 1)]

        self.assertEqual(run_on_testbed(scenario, plain_replicas()), [200, 200])

    def test_layers_are_placed_after_a_manifest_without_their_size(self):
        async def scenario(bed):
            await asyncio.sleep(READ_TIME)
            bed.store.put("config", "main", sample_manifest(2))
            await asyncio.sleep(PLACEMENT_TIME)
            return (await bed.call("/draft/1")).status

        manifest = manifest_with_engine(1, layer_mb=0.0)
        status = run_on_testbed(scenario, empty_engines(), manifest=manifest)
        self.assertEqual(status, 200)


class MalformedReportEngine(FakeReplica):
    """An engine whose reports are malformed."""

    def report(self):
        """Return a report with a number in place of a stalled request."""
        return {**super().report(), "stalled": [1]}


class ReportTests(unittest.TestCase):
    """Guards against an engine whose report ends the placement at each gateway."""

    def test_other_engines_are_placed_later(self):
        broken = MalformedReportEngine("i-x", "gen", "10.2.9.9", card="small")

        async def scenario(bed):
            await asyncio.sleep(PLACEMENT_TIME)
            for replica in list(bed.fleet.replicas.values()):
                if replica is not broken:
                    bed.fleet.begin_crash(replica)
            await asyncio.sleep(PLACEMENT_TIME)
            return (await bed.call("/draft/1")).status

        self.assertEqual(run_on_testbed(scenario, [broken, *empty_engines()]), 200)


class RelayTests(unittest.TestCase):
    """Guards against an answer after which a gateway asks no other one any more."""

    def test_gateway_that_has_read_a_malformed_answer_catches_up(self):
        async def scenario(bed):
            bed.store.refused_callers.add(bed.gateways[0].settings.vm)
            # The watch that has begun still gets this change.
            bed.store.put("config", "main", manifest_with_route(2, "first"))
            await asyncio.sleep(READ_TIME)
            malformed = {"endpoints": [{"id": 1}], "endpoints_revision": 1_000_000}
            with mock.patch.object(
                peer_relay, "make_answer", lambda gateway, query: malformed
            ):
                bed.store.put("config", "main", manifest_with_route(3, "second"))
                await asyncio.sleep(READ_TIME)
            bed.store.put("config", "main", manifest_with_route(4, "third"))
            await asyncio.sleep(READ_TIME)
            return (await bed.call("/third/1")).status

        self.assertEqual(run_on_testbed(scenario, plain_replicas()), 200)


class SettingsTests(unittest.TestCase):
    """Guards against a settings file after which the file is not read any more."""

    def test_number_that_cannot_be_used_is_an_error_of_the_file(self):
        settings = sample_settings(0)
        settings["limits"] = {"memory_mb": float("inf")}
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "settings.json")
            path.write_text(json.dumps(settings))
            with self.assertRaises(SettingsFileError):
                read_settings(str(path))


class EntryTests(unittest.TestCase):
    """Guards against an entry of a replica on which each gateway's requests fail."""

    def test_entry_whose_port_cannot_be_connected_to_is_not_used(self):
        async def scenario(bed):
            entry = FakeReplica("i-x", "stock", "10.3.0.9", 99_999).entry()
            bed.store.put("servers", "i-x", entry)
            await asyncio.sleep(READ_TIME)
            return [
                (await bed.call(f"/look/{it}", gateway=it % 2)).status
                for it in range(8)
            ], ["i-x" in it.view.endpoints for it in bed.gateways]

        statuses, known = run_on_testbed(scenario, plain_replicas())
        self.assertEqual(statuses, [200] * 8)
        self.assertEqual(known, [False] * 2)
