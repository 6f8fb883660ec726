import asyncio
import unittest

import attrs

from lentilhaven.agent.agent import open_agent
from lentilhaven.agent.agent_settings import AgentSettings
from lentilhaven.control import EndpointState
from lentilhaven.core.randomness import derive_random
from lentilhaven.objects import Share, open_object_client
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.network import STORE
from lentilhaven.testbed.tokens import CLUSTER_TOKEN

PLAN = TestbedPlan(vm_count=3, replica_count=1, range_count=1)


async def edit_deadline(testbed, deadline):
    tables = testbed.vms[0].agent.tables
    first = attrs.evolve(tables.routes[0], deadline=deadline)
    edited = attrs.evolve(tables, routes=[first, *tables.routes[1:]])
    return await testbed.apply(edited, f"deadline-{deadline}")


async def join(testbed, observe, seeds):
    """Start an agent that is in no list of VMs; return the result of `observe`."""
    settings = AgentSettings("late", "mty-a", testbed.store_url, seeds=seeds)
    connector = testbed.connector("late")
    async with (
        open_object_client(testbed.store_url, testbed.connector("late")) as client,
        open_agent(
            settings,
            client,
            testbed.clock,
            derive_random(1, "late"),
            CLUSTER_TOKEN,
            connector,
        ) as agent,
    ):
        return await observe(agent)


async def first_version_served(agent):
    await agent.changed.wait_until(lambda: agent.ready, 60.0)
    return agent.tables.version


class JoiningTests(unittest.TestCase):
    def test_serves_no_older_tables_than_peers_when_store_reads_are_stale(self):
        async def main():
            async with open_testbed(PLAN) as testbed:
                version = await edit_deadline(testbed, 9.0)
                await testbed.wait_until_adopted(version)
                testbed.store.faults.stale_reads = True
                return version, await join(testbed, first_version_served, [])

        version, served = run_virtual(main())
        self.assertEqual(served, version)

    def test_joins_from_its_seeds_while_the_platform_is_down(self):
        async def main():
            async with open_testbed(PLAN) as testbed:
                testbed.store.faults.outage = True
                async with asyncio.timeout(3.0):
                    return await join(testbed, first_version_served, testbed.seeds)

        self.assertEqual(run_virtual(main()), 1)

    def test_is_not_ready_without_peers_and_store(self):
        async def observe(agent):
            await asyncio.sleep(10.0)
            return agent.ready, agent.tables.version

        async def main():
            async with open_testbed(PLAN) as testbed:
                testbed.store.faults.outage = True
                return await join(testbed, observe, [])

        self.assertEqual(run_virtual(main()), (False, 0))


class NetworkPartitionTests(unittest.TestCase):
    def test_a_reconnected_data_centre_adopts_the_tables_that_it_missed(self):
        async def main():
            async with open_testbed(attrs.evolve(PLAN, vm_count=6)) as testbed:
                await asyncio.sleep(8.0)
                inside = {vm.id for vm in testbed.vms if vm.data_centre == "mty-c"}
                outside = {vm.id for vm in testbed.vms} - inside
                testbed.network.partition(inside, outside | {STORE})
                version = await edit_deadline(testbed, 9.0)
                await asyncio.sleep(15.0)
                first = testbed.vms[0].agent
                seen = set(first.members.live_ids())
                cut_off = [vm for vm in testbed.vms if vm.id in inside]
                behind = {vm.agent.tables.version for vm in cut_off}
                testbed.network.heal()
                seconds = await testbed.wait_until_adopted(version)
                await asyncio.sleep(8.0)
                return outside, seen, behind, seconds, len(first.members.live_ids())

        outside, seen, behind, seconds, live = run_virtual(main())
        self.assertEqual(seen, outside)
        self.assertEqual(behind, {1})
        self.assertLess(seconds, 6.0)
        self.assertEqual(live, 6)


class LoadTests(unittest.TestCase):
    def test_a_dead_endpoint_is_suspected_and_its_report_grows_old(self):
        async def main():
            async with open_testbed(PLAN) as testbed:
                await asyncio.sleep(4.0)
                fresh = testbed.vms[0].agent.view.endpoints["engine-1a"]
                testbed.engines["engine-1a"].kill()
                await asyncio.sleep(5.0)
                return fresh, testbed.vms[0].agent.view.endpoints["engine-1a"]

        fresh, late = run_virtual(main())
        self.assertIs(fresh.state, EndpointState.LIVE)
        self.assertLess(fresh.age, 3.0)
        self.assertIs(late.state, EndpointState.SUSPECT)
        self.assertGreater(late.age, 3.0)


class ShareTests(unittest.TestCase):
    def test_a_flood_of_journal_writes_does_not_starve_the_configuration(self):
        async def main():
            async with open_testbed(PLAN) as testbed:
                client = testbed.vms[0].agent.client
                journal = client.for_share(Share.JOURNAL)
                flood = [journal.write(f"j/{i}", 1, 0) for i in range(400)]
                task = asyncio.gather(*flood)
                await asyncio.sleep(0.1)
                began = testbed.clock.monotonic()
                await client.for_share(Share.CONFIGURATION).read("tables/head")
                waited = testbed.clock.monotonic() - began
                outcomes = await task
                refused = [it for it in outcomes if hasattr(it, "failure")]
                return waited, {it.failure.kind for it in refused}

        waited, kinds = run_virtual(main())
        self.assertLess(waited, 0.1)
        self.assertEqual(kinds, {"share-used-up"})
