"""Fleets in which not every gateway talks to every other one."""

import asyncio
import unittest

from lentilhaven.gateway.program import PLACEMENT_LEASE
from lentilhaven.gateway.tests.platform_bed import (
    plain_replicas,
    sample_manifest,
    two_chains,
    with_bed,
)
from lentilhaven.peering.directory import QUIET
from lentilhaven.peering.peer_table import FRESH
from lentilhaven.standins.platform.sample_files import route_entry

#: Seconds in which an accepted manifest must be in force.
CONFIG_APPLY = 2.0

#: Seconds after which a leaving endpoint gets no new work.
DRAIN_TIMEOUT = 2.0

#: Seconds in which gateways of a large fleet find their leaders.
SETTLING = 2.0

#: Seconds in which another gateway places layers: the hold lapses, its holder's last
#: word counts no more, and the lease is watched for as long as a hold lasts.
TAKE_OVER = (
    2 * PLACEMENT_LEASE.duration
    + PLACEMENT_LEASE.margin
    + 2 * PLACEMENT_LEASE.poll
    + FRESH
)

#: Three data centres of four gateways, each of which may talk to a few only.
LARGE = {"gateways": 12, "data_centres": 3, "small_fleet": 4}


def in_large_fleet(use, replicas):
    """Run ``use(bed)`` once the gateways have found their leaders."""

    async def settled(bed):
        await asyncio.sleep(SETTLING)
        return await use(bed)

    return with_bed(settled, replicas, **LARGE)


def leaders_of(bed):
    """Return the gateways that lead a data centre, by their own view."""
    now = asyncio.get_running_loop().time()
    return [it for it in bed.gateways if it.peers.directory.leads(now)]


def own_and_others(gateway):
    """Return the requests at each endpoint as one gateway reckons."""
    now = asyncio.get_running_loop().time()
    others = gateway.peers.others(now)
    found = {}
    for endpoint in gateway.view.endpoints.values():
        own = gateway.board.of(endpoint).requests
        if count := own + others.of(endpoint.id)[0]:
            found[endpoint.id] = count
    return found


class LoadTests(unittest.TestCase):
    """Pattern: many gateways decide alone on the load of the same engines."""

    def test_every_gateway_knows_the_load_of_all(self):
        async def use(bed):
            streams = [
                asyncio.create_task(bed.call("/draft/1", gateway=number, output=400))
                for number in range(12)
            ]
            await asyncio.sleep(0.6)
            found = [own_and_others(it) for it in bed.gateways]
            for stream in streams:
                stream.cancel()
            return found

        found = in_large_fleet(use, two_chains())
        self.assertEqual(sum(found[0].values()), 24)
        for each in found:
            self.assertEqual(each, found[0])

    def test_all_count_all_gateways(self):
        async def use(bed):
            now = asyncio.get_running_loop().time()
            return [it.count_gateways(now) for it in bed.gateways]

        self.assertEqual(in_large_fleet(use, plain_replicas()), [12] * 12)

    def test_two_gateways_lead_in_each_data_centre(self):
        async def use(bed):
            return [it.settings.data_centre for it in leaders_of(bed)]

        found = in_large_fleet(use, plain_replicas())
        self.assertEqual(sorted(found), ["dc-a"] * 2 + ["dc-b"] * 2 + ["dc-c"] * 2)

    def test_a_dead_endpoint_is_avoided_by_all_at_once(self):
        async def use(bed):
            endpoint = bed.gateways[11].view.endpoints["i-a4"]
            now = asyncio.get_running_loop().time()
            state = bed.gateways[11].board.of(endpoint)
            state.note_suspicion(now, now + 4.0, own=True)
            bed.gateways[11].urgent.notify()
            await asyncio.sleep(0.1)
            return [it.is_suspected(endpoint) for it in bed.gateways]

        self.assertEqual(in_large_fleet(use, two_chains()), [True] * 12)


class FollowingTests(unittest.TestCase):
    """Pattern: a manifest changes while only the leaders follow the store."""

    @staticmethod
    async def edit(bed):
        manifest = sample_manifest(2)
        manifest["routes"].append(route_entry("new", "safe", "stock"))
        bed.store.put("config", "main", manifest)
        await asyncio.sleep(CONFIG_APPLY)
        return [it.view.manifest.version for it in bed.gateways]

    def test_it_is_in_force_everywhere_in_time(self):
        self.assertEqual(in_large_fleet(self.edit, plain_replicas()), [2] * 12)

    def test_so_it_is_while_the_store_turns_the_others_away(self):
        async def use(bed):
            leading = leaders_of(bed)
            bed.store.refused |= {
                it.settings.vm for it in bed.gateways if it not in leading
            }
            return await self.edit(bed)

        self.assertEqual(in_large_fleet(use, plain_replicas()), [2] * 12)

    def test_so_it_is_while_the_store_turns_the_leaders_away(self):
        async def use(bed):
            bed.store.refused |= {it.settings.vm for it in leaders_of(bed)}
            await asyncio.sleep(3.0)
            return await self.edit(bed)

        self.assertEqual(in_large_fleet(use, plain_replicas()), [2] * 12)

    def test_a_leaving_endpoint_gets_no_new_work_anywhere(self):
        async def use(bed):
            leaving = bed.fleet.replicas["i-stock-0"]
            leaving.draining = True
            bed.fleet.register(leaving)
            await asyncio.sleep(DRAIN_TIMEOUT)
            before = len(leaving.runs)
            for number in range(12):
                await bed.call(f"/look/{number}", "GET", gateway=number)
            return len(leaving.runs) - before

        self.assertEqual(in_large_fleet(use, plain_replicas()), 0)

    def test_the_others_hardly_call_the_store(self):
        async def use(bed):
            leading = {it.settings.vm for it in leaders_of(bed)}
            bed.store.callers.clear()
            await asyncio.sleep(20.0)
            calls = bed.store.callers
            return sum(calls[it] for it in calls if it not in leading)

        self.assertLessEqual(in_large_fleet(use, plain_replicas()), 2)


class LossTests(unittest.TestCase):
    """Pattern: all leaders of all data centres are lost at once."""

    def test_another_one_takes_the_lease_when_its_holder_loses_the_store(self):
        """Pattern: the store turns away who placed layers last."""

        async def use(bed):
            await asyncio.sleep(PLACEMENT_LEASE.poll + 1.0)
            first = [it for it in bed.gateways if it.places()]
            bed.store.refused |= {it.settings.vm for it in first}
            await asyncio.sleep(TAKE_OVER)
            return len(first), sum(it.places() for it in bed.gateways)

        self.assertEqual(in_large_fleet(use, two_chains()), (1, 1))

    def test_others_take_over(self):
        async def use(bed):
            lost = leaders_of(bed)
            bed.datagrams.cut |= {it.settings.address for it in lost}
            bed.store.refused |= {it.settings.vm for it in lost}
            await asyncio.sleep(2 * QUIET)
            streams = [
                asyncio.create_task(bed.call("/draft/1", gateway=number, output=800))
                for number, gateway in enumerate(bed.gateways)
                if gateway not in lost
            ]
            await asyncio.sleep(0.8)
            left = [it for it in bed.gateways if it not in lost]
            found = [own_and_others(it) for it in left]
            bed.store.put("config", "main", sample_manifest(2))
            await asyncio.sleep(CONFIG_APPLY)
            versions = [it.view.manifest.version for it in left]
            for stream in streams:
                stream.cancel()
            return found, versions

        found, versions = in_large_fleet(use, two_chains())
        self.assertEqual(versions, [2] * 6)
        self.assertEqual(sum(found[0].values()), 12)
        for each in found:
            self.assertEqual(each, found[0])
