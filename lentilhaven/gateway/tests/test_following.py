import asyncio
import unittest

from lentilhaven.core.store_position import START
from lentilhaven.gateway.tests.platform_testbed import (
    engine,
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    two_chains,
)
from lentilhaven.standins.platform.fake_store import StoreState
from lentilhaven.standins.platform.sample_files import route_entry

#: Seconds within which an accepted manifest must be in force.
CONFIG_APPLY = 2.0

#: Seconds by which that may be exceeded while the store refuses a gateway.
EXTENSION = 5.0

#: Seconds after which a draining endpoint gets no new requests.
DRAIN_TIMEOUT = 2.0


def changed_manifest(version=2):
    """Return a manifest with a new route and without the key of the first."""
    manifest = sample_manifest(version)
    manifest["routes"].append(route_entry("new", "safe", "stock"))
    manifest["tenants"] = [{"name": "depot", "api_keys": ["another-key"]}]
    return manifest


class ManifestTests(unittest.TestCase):
    def test_change_is_in_force_at_every_gateway_in_time(self):
        async def use(bed):
            bed.store.put("config", "main", changed_manifest())
            await asyncio.sleep(CONFIG_APPLY)
            key = "Bearer another-key"
            return [
                (
                    (await bed.call("/new/1", "GET", n, Authorization=key)).status,
                    (await bed.call("/look/1", "GET", n)).status,
                )
                for n in range(3)
            ]

        found = run_on_testbed(use, plain_replicas(), gateways=3)
        self.assertEqual(found, [(200, 401)] * 3)

    def test_change_is_in_force_in_time_if_watches_never_answer(self):
        """Guards against lost watches: the store drops its history, never answers."""

        async def use(bed):
            bed.store.unresponsive_watches = True
            await asyncio.sleep(11.0)
            bed.store.put("config", "main", changed_manifest())
            await asyncio.sleep(CONFIG_APPLY)
            return [gateway.view.manifest.version for gateway in bed.gateways]

        self.assertEqual(run_on_testbed(use, plain_replicas(), gateways=3), [2, 2, 2])

    def test_refused_gateway_learns_of_change_from_the_others(self):
        async def use(bed):
            bed.store.refused_callers.add("front-dc-a-2")
            await asyncio.sleep(1.0)
            bed.store.put("config", "main", changed_manifest())
            await asyncio.sleep(CONFIG_APPLY)
            return [gateway.view.manifest.version for gateway in bed.gateways]

        self.assertEqual(run_on_testbed(use, plain_replicas(), gateways=3), [2, 2, 2])

    def test_older_manifest_is_ignored(self):
        async def use(bed):
            view = bed.gateways[0].view
            older = view.manifest
            bed.store.put("config", "main", changed_manifest())
            await asyncio.sleep(CONFIG_APPLY)
            adopted = view.adopt_manifest(older, START, "a stale read")
            return adopted, view.manifest.version

        self.assertEqual(run_on_testbed(use, plain_replicas()), (False, 2))

    def test_malformed_manifest_leaves_the_current_one_in_force(self):
        async def use(bed):
            bed.store.put("config", "main", {"version": 2, "routes": [{}]})
            await asyncio.sleep(CONFIG_APPLY)
            return (await bed.call("/look/1", "GET")).status

        self.assertEqual(run_on_testbed(use, plain_replicas()), 200)

    def test_store_is_listed_again_after_compaction(self):
        async def use(bed):
            bed.store.compact()
            bed.store.put("config", "main", changed_manifest())
            bed.store.compact()
            await asyncio.sleep(CONFIG_APPLY)
            return [gateway.view.manifest.version for gateway in bed.gateways]

        self.assertEqual(run_on_testbed(use, plain_replicas()), [2, 2])


class EndpointTests(unittest.TestCase):
    def test_draining_endpoint_gets_no_new_requests(self):
        async def use(bed):
            replica = bed.fleet.replicas["i-stock-0"]
            replica.draining = True
            bed.fleet.register(replica)
            await asyncio.sleep(DRAIN_TIMEOUT)
            before = len(replica.runs)
            for number in range(6):
                await bed.call(f"/look/{number}", "GET", gateway=number % 2)
            return len(replica.runs) - before

        self.assertEqual(run_on_testbed(use, plain_replicas()), 0)

    def test_draining_endpoint_gets_no_new_requests_from_refused_gateway(self):
        async def use(bed):
            bed.store.refused_callers.add("front-dc-a-2")
            await asyncio.sleep(1.0)
            replica = bed.fleet.replicas["i-stock-0"]
            replica.draining = True
            bed.fleet.register(replica)
            await asyncio.sleep(DRAIN_TIMEOUT)
            for number in range(6):
                await bed.call(f"/look/{number}", "GET", gateway=1)
            return len(replica.runs)

        self.assertEqual(run_on_testbed(use, plain_replicas(), gateways=3), 0)

    def test_entries_that_vanish_in_an_outage_are_used_for_a_while(self):
        async def use(bed):
            bed.store.state = StoreState.BUSY
            await asyncio.sleep(3.0)
            for name in list(bed.fleet.replicas):
                bed.store.delete("servers", name)
            bed.store.state = StoreState.UP
            await asyncio.sleep(1.0)
            during = (await bed.call("/look/1", "GET")).status
            await asyncio.sleep(5.0)
            after = (await bed.call("/look/2", "GET")).status
            return during, after

        self.assertEqual(run_on_testbed(use, plain_replicas()), (200, 503))

    def test_malformed_entries_are_skipped(self):
        async def use(bed):
            for number, value in enumerate(
                (
                    None,
                    "text",
                    {"service": "stock"},
                    {
                        "service": "stock",
                        "address": "nowhere",
                        "zone": "dc-a",
                        "state": "ready",
                        "slots": 1,
                    },
                    {
                        "service": "stock",
                        "address": "10.3.0.9:8000",
                        "zone": "dc-a",
                        "state": "strange",
                        "slots": 1,
                    },
                )
            ):
                bed.store.put("servers", f"x-{number}", value)
            await asyncio.sleep(1.5)
            view = bed.gateways[0].view
            status = (await bed.call("/look/1", "GET")).status
            return status, sorted(view.endpoints)

        status, known = run_on_testbed(use, plain_replicas())
        self.assertEqual((status, known), (200, ["i-stock-0", "i-stock-1"]))

    def test_all_pages_of_a_listing_are_read(self):
        async def use(bed):
            bed.store.page_size = 3
            bed.store.compact()
            bed.store.put("servers", "zz", {"service": "none"})
            await asyncio.sleep(CONFIG_APPLY)
            return len(bed.gateways[0].view.endpoints)

        self.assertEqual(run_on_testbed(use, plain_replicas(7)), 7)


class OutageTests(unittest.TestCase):
    def test_requests_are_served_while_the_store_is_silent(self):
        async def use(bed):
            bed.store.state = StoreState.SILENT
            await asyncio.sleep(15.0)
            return (
                (await bed.call("/look/1", "GET")).status,
                (await bed.call("/draft/1")).complete,
            )

        found = run_on_testbed(use, plain_replicas() + two_chains())
        self.assertEqual(found, (200, True))


class PlacementTests(unittest.TestCase):
    def test_empty_engines_get_one_order_each_from_the_lease_holder(self):
        engines = [engine(f"e{number}", 0, 0) for number in range(4)]

        async def use(bed):
            await asyncio.sleep(6.0)
            held = [replica.span for replica in bed.fleet.replicas.values()]
            orders = [replica.orders for replica in bed.fleet.replicas.values()]
            return held, orders, await bed.call("/draft/1"), bed.fleet.invalid_paths

        held, orders, reply, wrong_paths = run_on_testbed(use, engines, gateways=3)
        self.assertTrue(all(held))
        self.assertEqual(orders, [1] * 4)
        self.assertTrue(reply.complete)
        self.assertEqual(wrong_paths, [])
        memory_mb, layer_mb = 6_000.0, 1_000.0
        for start, end in held:
            self.assertLessEqual((end - start) * layer_mb, memory_mb)

    def test_engine_that_restarts_empty_is_filled_again(self):
        engines = [engine(f"e{number}", 0, 0) for number in range(4)]

        async def use(bed):
            await asyncio.sleep(6.0)
            replica = bed.fleet.replicas["i-e1"]
            replica.restart()
            bed.fleet.register(replica)
            await asyncio.sleep(3.0)
            return replica.span

        self.assertIsNotNone(run_on_testbed(use, engines))
