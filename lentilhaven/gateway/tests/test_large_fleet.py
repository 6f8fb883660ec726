"""Fleets in which gateways send their datagrams to the leaders only."""

import asyncio
import unittest
from unittest import mock

from lentilhaven.gateway import suspect_check
from lentilhaven.gateway.endpoint_states import SUSPICION_TIME
from lentilhaven.gateway.program import PLACEMENT_LEASE
from lentilhaven.gateway.tests import platform_testbed
from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    two_chains,
)
from lentilhaven.limits.shared_room import urgent_waiting_elsewhere
from lentilhaven.peering.directory import ANSWER_TIMEOUT
from lentilhaven.peering.peer_table import LOAD_EXPIRY
from lentilhaven.peering.queue_state import QueueState
from lentilhaven.standins.platform.sample_files import route_entry

#: Seconds within which an accepted manifest must be in force.
CONFIG_APPLY = 2.0

#: Seconds after which a draining endpoint gets no new requests.
DRAIN_TIMEOUT = 2.0

#: Seconds within which gateways of a large fleet find their leaders.
SETTLING = 2.0

#: Seconds within which another gateway takes over the placement lease: the old hold
#: lapses, the holder's last datagram expires, and the new holder first watches the
#: lease for as long as a hold lasts.
TAKEOVER_TIME = (
    2 * PLACEMENT_LEASE.duration
    + PLACEMENT_LEASE.margin
    + 2 * PLACEMENT_LEASE.poll_interval
    + LOAD_EXPIRY
)

#: Three data centres of four gateways each, above the limit for sending to all.
LARGE = {"gateways": 12, "data_centres": 3, "small_fleet": 4}


def in_large_fleet(use, replicas):
    """Run ``use(bed)`` once the gateways have found their leaders."""

    async def settled(bed):
        await asyncio.sleep(SETTLING)
        return await use(bed)

    return run_on_testbed(settled, replicas, **LARGE)


def leaders_of(bed):
    """Return the gateways that consider themselves leaders of their data centre."""
    now = asyncio.get_running_loop().time()
    return [
        gateway for gateway in bed.gateways if gateway.peers.directory.is_leader(now)
    ]


def estimated_requests(gateway):
    """Return the requests at each endpoint as one gateway estimates them."""
    now = asyncio.get_running_loop().time()
    others = gateway.peers.load_of_others(now)
    found = {}
    for endpoint in gateway.view.endpoints.values():
        own = gateway.endpoint_states.of(endpoint).requests
        if count := own + others.load_of(endpoint.id)[0]:
            found[endpoint.id] = count
    return found


def waiting_elsewhere(gateway, now):
    """Return waiting tokens, gateways that report them, and unread layer-tokens."""
    reports = gateway.peers.queue_reports("gen", now)
    unread = gateway.peers.load_of_others(now).queues.unread
    return (
        urgent_waiting_elsewhere(reports, 1),
        sum(report.gateways for report in reports),
        unread.get("i-a4"),
    )


class LoadTests(unittest.TestCase):
    """Guards against uneven load: many gateways choose among the same engines."""

    def test_every_gateway_knows_the_load_of_all(self):
        async def use(bed):
            streams = [
                asyncio.create_task(bed.call("/draft/1", gateway=number, output=400))
                for number in range(12)
            ]
            await asyncio.sleep(0.6)
            found = [estimated_requests(gateway) for gateway in bed.gateways]
            for stream in streams:
                stream.cancel()
            return found

        found = in_large_fleet(use, two_chains())
        self.assertEqual(sum(found[0].values()), 24)
        for requests in found:
            self.assertEqual(requests, found[0])

    def test_every_gateway_knows_what_waits_at_the_others(self):
        """Guards against less urgent work that starts before work elsewhere."""

        async def use(bed):
            for gateway in bed.gateways:
                gateway.queue_states = lambda: {"gen": QueueState({0: (1, 100.0)})}
                gateway.unread = lambda: {"i-a4": 5.0}
            await asyncio.sleep(0.6)
            now = asyncio.get_running_loop().time()
            return [waiting_elsewhere(gateway, now) for gateway in bed.gateways]

        expected = (1100.0, 11, 55.0)
        self.assertEqual(in_large_fleet(use, plain_replicas()), [expected] * 12)

    def test_every_gateway_counts_all_gateways(self):
        async def use(bed):
            now = asyncio.get_running_loop().time()
            return [gateway.count_gateways(now) for gateway in bed.gateways]

        self.assertEqual(in_large_fleet(use, plain_replicas()), [12] * 12)

    def test_two_gateways_lead_in_each_data_centre(self):
        async def use(bed):
            return [leader.settings.data_centre for leader in leaders_of(bed)]

        found = in_large_fleet(use, plain_replicas())
        self.assertEqual(sorted(found), ["dc-a"] * 2 + ["dc-b"] * 2 + ["dc-c"] * 2)

    def test_suspicion_reaches_every_gateway_at_once(self):
        async def use(bed):
            endpoint = bed.gateways[11].view.endpoints["i-a4"]
            now = asyncio.get_running_loop().time()
            state = bed.gateways[11].endpoint_states.of(endpoint)
            state.note_suspicion(now, now + SUSPICION_TIME)
            bed.gateways[11].urgent_signal.notify()
            await asyncio.sleep(0.1)
            return [gateway.is_suspected(endpoint) for gateway in bed.gateways]

        self.assertEqual(in_large_fleet(use, two_chains()), [True] * 12)


class SlowDatagramTests(unittest.TestCase):
    """
    Guards against knowledge that outlives its cause.

    Gateways at the limit of their processors handle datagrams late.  The leaders of
    the data centres send each other sums; if each repeats what the others repeat, and
    its age leaves out the time in transit, a suspicion that one gateway had once never
    ends, and an endpoint that has fallen silent is heard of for ever.
    """

    #: Seconds from sending a datagram to handling it.
    LATENCY = 0.15

    #: Datagrams from any gateway to any other, by way of leaders, and the intervals
    #: between them.
    SPREAD_TIME = 4 * (LATENCY + 0.15)

    def in_slow_fleet(self, use):
        with mock.patch.object(platform_testbed, "DATAGRAM_LATENCY", self.LATENCY):
            return in_large_fleet(use, two_chains())

    def test_suspicion_ends_everywhere(self):
        async def use(bed):
            await asyncio.sleep(3.0)
            endpoint = bed.gateways[11].view.endpoints["i-a4"]
            now = asyncio.get_running_loop().time()
            state = bed.gateways[11].endpoint_states.of(endpoint)
            state.note_suspicion(now, now + SUSPICION_TIME)
            bed.gateways[11].urgent_signal.notify()
            await asyncio.sleep(self.SPREAD_TIME)
            spread = [gateway.is_suspected(endpoint) for gateway in bed.gateways]
            await asyncio.sleep(SUSPICION_TIME)
            ended = [not gateway.is_suspected(endpoint) for gateway in bed.gateways]
            return all(spread), all(ended)

        # The engine is alive, and its answer to a question would end the suspicion.
        with mock.patch.object(suspect_check, "CHECK_INTERVAL", 60.0):
            self.assertEqual(self.in_slow_fleet(use), (True, True))

    def test_silent_endpoint_is_heard_of_no_longer(self):
        async def use(bed):
            await asyncio.sleep(3.0)
            endpoint = bed.gateways[11].view.endpoints["i-a4"]
            now = asyncio.get_running_loop().time()
            bed.gateways[11].endpoint_states.of(endpoint).note_heard(now)
            await asyncio.sleep(6.0)
            heard = [it.endpoint_states.of(endpoint).heard_at for it in bed.gateways]
            return min(heard) >= now, max(heard) <= now + self.SPREAD_TIME

        self.assertEqual(self.in_slow_fleet(use), (True, True))


class FollowingTests(unittest.TestCase):
    """Guards against late changes: only the leaders follow the store."""

    @staticmethod
    async def change_manifest(bed):
        manifest = sample_manifest(2)
        manifest["routes"].append(route_entry("new", "safe", "stock"))
        bed.store.put("config", "main", manifest)
        await asyncio.sleep(CONFIG_APPLY)
        return [gateway.view.manifest.version for gateway in bed.gateways]

    def test_manifest_is_in_force_everywhere_in_time(self):
        self.assertEqual(
            in_large_fleet(self.change_manifest, plain_replicas()), [2] * 12
        )

    def test_manifest_is_in_force_if_the_store_refuses_all_but_leaders(self):
        async def use(bed):
            leaders = leaders_of(bed)
            bed.store.refused_callers |= {
                gateway.settings.vm
                for gateway in bed.gateways
                if gateway not in leaders
            }
            return await self.change_manifest(bed)

        self.assertEqual(in_large_fleet(use, plain_replicas()), [2] * 12)

    def test_manifest_is_in_force_if_the_store_refuses_the_leaders(self):
        async def use(bed):
            bed.store.refused_callers |= {
                leader.settings.vm for leader in leaders_of(bed)
            }
            await asyncio.sleep(3.0)
            return await self.change_manifest(bed)

        self.assertEqual(in_large_fleet(use, plain_replicas()), [2] * 12)

    def test_draining_endpoint_gets_no_new_requests_from_any_gateway(self):
        async def use(bed):
            replica = bed.fleet.replicas["i-stock-0"]
            replica.draining = True
            bed.fleet.register(replica)
            await asyncio.sleep(DRAIN_TIMEOUT)
            before = len(replica.runs)
            for number in range(12):
                await bed.call(f"/look/{number}", "GET", gateway=number)
            return len(replica.runs) - before

        self.assertEqual(in_large_fleet(use, plain_replicas()), 0)

    def test_gateways_that_do_not_lead_hardly_call_the_store(self):
        async def use(bed):
            leader_vms = {leader.settings.vm for leader in leaders_of(bed)}
            bed.store.callers.clear()
            await asyncio.sleep(20.0)
            calls = bed.store.callers
            return sum(calls[vm] for vm in calls if vm not in leader_vms)

        self.assertLessEqual(in_large_fleet(use, plain_replicas()), 2)


class LossTests(unittest.TestCase):
    """Guards against depending on single gateways, such as leaders or the placer."""

    def test_lease_is_taken_over_if_its_holder_loses_the_store(self):
        """Guards against a stuck lease: the store refuses the gateway that holds it."""

        async def use(bed):
            await asyncio.sleep(PLACEMENT_LEASE.poll_interval + 1.0)
            holders = [
                gateway for gateway in bed.gateways if gateway.holds_placement_lease()
            ]
            bed.store.refused_callers |= {holder.settings.vm for holder in holders}
            await asyncio.sleep(TAKEOVER_TIME)
            return len(holders), sum(
                gateway.holds_placement_lease() for gateway in bed.gateways
            )

        self.assertEqual(in_large_fleet(use, two_chains()), (1, 1))

    def test_other_gateways_take_over_from_lost_leaders(self):
        """Guards against a fleet without leaders: all of them are lost at once."""

        async def use(bed):
            lost = leaders_of(bed)
            bed.datagram_network.cut |= {leader.settings.address for leader in lost}
            bed.store.refused_callers |= {leader.settings.vm for leader in lost}
            await asyncio.sleep(2 * ANSWER_TIMEOUT)
            streams = [
                asyncio.create_task(bed.call("/draft/1", gateway=number, output=800))
                for number, gateway in enumerate(bed.gateways)
                if gateway not in lost
            ]
            await asyncio.sleep(0.8)
            left = [gateway for gateway in bed.gateways if gateway not in lost]
            found = [estimated_requests(gateway) for gateway in left]
            bed.store.put("config", "main", sample_manifest(2))
            await asyncio.sleep(CONFIG_APPLY)
            versions = [gateway.view.manifest.version for gateway in left]
            for stream in streams:
                stream.cancel()
            return found, versions

        found, versions = in_large_fleet(use, two_chains())
        self.assertEqual(versions, [2] * 6)
        self.assertEqual(sum(found[0].values()), 12)
        for requests in found:
            self.assertEqual(requests, found[0])
