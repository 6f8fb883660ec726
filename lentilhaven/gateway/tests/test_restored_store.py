"""A store that is restored from a copy some seconds old."""

import asyncio
import unittest

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

#: Seconds after the store's return within which live replicas register again.
REREGISTRATION = 2.0


def manifest_with_route(version, name):
    manifest = sample_manifest(version)
    manifest["routes"].append(route_entry(name, "safe", "stock"))
    return manifest


async def lose_and_restore(bed, earlier, away=0.5):
    """Take the store away for a moment and bring it back from a copy."""
    bed.store.state = StoreState.BUSY
    await asyncio.sleep(away)
    bed.store.restore(earlier)
    bed.store.state = StoreState.UP


def versions(bed):
    return [gateway.view.manifest.version for gateway in bed.gateways]


def advance(store, count):
    """Raise the revision of a store by changes of another kind."""
    for number in range(count):
        store.put("unrelated", "counter", number)


class ManifestTests(unittest.TestCase):
    def test_accepted_manifest_stays_in_force_while_the_store_has_an_older_one(self):
        async def use(bed):
            earlier = bed.store.make_copy()
            bed.store.put("config", "main", manifest_with_route(8, "new"))
            await asyncio.sleep(CONFIG_APPLY)
            await lose_and_restore(bed, earlier)
            statuses = []
            for _ in range(8):
                await asyncio.sleep(0.5)
                statuses += [
                    (await bed.call("/new/1", "GET", number)).status
                    for number in range(3)
                ]
            return set(statuses), versions(bed)

        found = run_on_testbed(use, plain_replicas(), gateways=3)
        self.assertEqual(found, ({200}, [8, 8, 8]))

    def test_rewritten_and_later_manifests_are_in_force_in_time(self):
        async def use(bed):
            earlier = bed.store.make_copy()
            advance(bed.store, 50)
            bed.store.put("config", "main", manifest_with_route(8, "new"))
            await asyncio.sleep(CONFIG_APPLY)
            await lose_and_restore(bed, earlier)
            await asyncio.sleep(1.0)
            bed.store.put("config", "main", manifest_with_route(8, "new"))
            await asyncio.sleep(1.0)
            bed.store.put("config", "main", manifest_with_route(9, "newest"))
            await asyncio.sleep(CONFIG_APPLY)
            return versions(bed), (await bed.call("/newest/1", "GET")).status

        found = run_on_testbed(use, plain_replicas(), gateways=3)
        self.assertEqual(found, ([9, 9, 9], 200))

    def test_later_manifest_arrives_although_watches_never_answer(self):
        """The restore is learnt from full reads only, and from other gateways."""

        async def use(bed):
            earlier = bed.store.make_copy()
            advance(bed.store, 50)
            bed.store.unresponsive_watches = True
            await lose_and_restore(bed, earlier)
            bed.store.put("config", "main", manifest_with_route(9, "newest"))
            await asyncio.sleep(CONFIG_APPLY)
            return versions(bed)

        self.assertEqual(run_on_testbed(use, plain_replicas(), gateways=3), [9] * 3)

    def test_revision_that_is_given_out_again_hides_no_change(self):
        """A watch from before the restore would miss changes at reused revisions."""

        async def use(bed):
            earlier = bed.store.make_copy()
            bed.store.put("config", "main", manifest_with_route(8, "new"))
            await asyncio.sleep(CONFIG_APPLY)
            bed.store.restore(earlier)
            bed.store.put("config", "main", manifest_with_route(9, "newest"))
            advance(bed.store, 20)
            await asyncio.sleep(CONFIG_APPLY)
            return versions(bed)

        self.assertEqual(run_on_testbed(use, plain_replicas()), [9, 9])


class EndpointTests(unittest.TestCase):
    def test_replica_that_the_copy_lacks_is_used_until_it_registers_again(self):
        async def use(bed):
            earlier = bed.store.make_copy()
            earlier.kinds["servers"].clear()
            await lose_and_restore(bed, earlier)
            during = []
            for _ in range(5):
                await asyncio.sleep(REREGISTRATION / 6)
                during.append((await bed.call("/look/1", "GET")).status)
            bed.fleet.register(bed.fleet.replicas["i-stock-0"])
            await asyncio.sleep(REREGISTRATION + 1.5)
            known = [sorted(it.view.endpoints) for it in bed.gateways]
            return set(during), known, (await bed.call("/look/1", "GET")).status

        found = run_on_testbed(use, plain_replicas())
        self.assertEqual(found, ({200}, [["i-stock-0"]] * 2, 200))

    def test_draining_replica_stays_unused_though_the_copy_says_ready(self):
        async def use(bed):
            replica = bed.fleet.replicas["i-stock-0"]
            earlier = bed.store.make_copy()
            replica.draining = True
            bed.fleet.register(replica)
            await asyncio.sleep(1.0)
            await lose_and_restore(bed, earlier)
            replica.arrivals.clear()
            for _ in range(40):
                await asyncio.sleep(0.1)
                await bed.call("/look/1", "GET")
            return len(replica.arrivals)

        self.assertEqual(run_on_testbed(use, plain_replicas()), 0)

    def test_replica_known_to_be_gone_is_not_used_on_the_word_of_the_copy(self):
        async def use(bed):
            replica = bed.fleet.replicas["i-stock-0"]
            earlier = bed.store.make_copy()
            bed.store.delete("servers", replica.id)
            await asyncio.sleep(1.0)
            await lose_and_restore(bed, earlier)
            replica.arrivals.clear()
            for _ in range(20):
                await asyncio.sleep(0.1)
                await bed.call("/look/1", "GET")
            during = len(replica.arrivals)
            replica.slots += 1
            bed.fleet.register(replica)
            await asyncio.sleep(1.0)
            return during, replica.id in bed.gateways[0].view.endpoints

        found = run_on_testbed(use, plain_replicas(), gateways=1)
        self.assertEqual(found, (0, True))

    def test_restarted_replica_is_not_taken_for_its_earlier_incarnation(self):
        async def use(bed):
            replica = bed.fleet.replicas["i-stock-0"]
            earlier = bed.store.make_copy()
            replica.restart()
            bed.fleet.register(replica)
            await asyncio.sleep(1.0)
            await lose_and_restore(bed, earlier)
            await asyncio.sleep(1.0)
            return {it.view.endpoints[replica.id].born for it in bed.gateways}

        replicas = plain_replicas()
        found = run_on_testbed(use, replicas)
        self.assertEqual(found, {replicas[0].born})


class PlacementTests(unittest.TestCase):
    def test_nothing_is_placed_anew_for_engines_that_hold_their_layers(self):
        engines = [engine(f"e{number}", 0, 0) for number in range(4)]

        async def use(bed):
            earlier = bed.store.make_copy()
            await asyncio.sleep(6.0)
            before = [(it.span, it.orders) for it in bed.fleet.replicas.values()]
            # The copy shows all engines without layers, as before their orders.
            await lose_and_restore(bed, earlier)
            await asyncio.sleep(1.0)
            for replica in bed.fleet.replicas.values():
                bed.fleet.register(replica)
            await asyncio.sleep(12.0)
            after = [(it.span, it.orders) for it in bed.fleet.replicas.values()]
            return before, after, (await bed.call("/draft/1")).complete

        before, after, complete = run_on_testbed(use, engines, gateways=3)
        self.assertEqual(before, after)
        self.assertTrue(all(span for span, _ in before))
        self.assertTrue(complete)

    def test_someone_places_again_after_a_restore(self):
        engines = [engine(f"e{number}", 0, 0) for number in range(4)]

        async def use(bed):
            await asyncio.sleep(6.0)
            earlier = bed.store.make_copy()
            await asyncio.sleep(3.0)
            await lose_and_restore(bed, earlier)
            replica = bed.fleet.replicas["i-e1"]
            replica.restart()
            bed.fleet.register(replica)
            await asyncio.sleep(10.0)
            return replica.span

        self.assertIsNotNone(run_on_testbed(use, engines, gateways=3))


class OverlapTests(unittest.TestCase):
    def test_requests_are_served_throughout(self):
        async def use(bed):
            earlier = bed.store.make_copy()
            await asyncio.sleep(2.0)
            calls = []
            task = asyncio.ensure_future(lose_and_restore(bed, earlier, away=1.0))
            for number in range(100):
                calls.append(
                    asyncio.ensure_future(bed.call("/draft/1", gateway=number % 2))
                )
                await asyncio.sleep(0.05)
            await task
            return {it.status for it in await asyncio.gather(*calls)}

        self.assertEqual(run_on_testbed(use, two_chains()), {200})
