import asyncio
import unittest

import attrs

from lentilhaven.idempotency import time_ordered_key
from lentilhaven.router.shutdown import drain
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.testbed import derive_testbed_random


async def post(testbed, key, body=None, method="POST", vm=0, attempt="", request="q"):
    call_headers = {
        "Idempotency-Key": key,
        "X-Attempt": attempt,
        "X-Request-Id": request,
    }
    headers = testbed.headers | call_headers
    url = f"{testbed.vms[vm].url}/services/stock/postings"
    async with testbed.session.request(
        method, url, json=body or {"meter": 1}, headers=headers
    ) as response:
        document = await response.json()
        return response.status, document, response.headers


async def change_pool(testbed, **changes):
    tables = testbed.vms[0].router.view.tables
    pools = [
        attrs.evolve(pool, **changes) if pool.name == "stock" else pool
        for pool in tables.pools
    ]
    version = await testbed.apply(attrs.evolve(tables, pools=pools), "change")
    await testbed.wait_until_adopted(version)


def run_with_testbed(scenario, **plan):
    async def main():
        async with open_testbed(TestbedPlan(**plan)) as testbed:
            await scenario(testbed)

    run_virtual(main())


class ServiceCallTests(unittest.TestCase):
    def test_repeat_after_done_replays_the_response(self):
        async def scenario(testbed):
            service = testbed.services["stock-1"]
            first = await post(testbed, "issue-1")
            second = await post(testbed, "issue-1", vm=1)
            self.assertEqual(first[:2], second[:2])
            self.assertEqual(second[2]["Idempotency-Replayed"], "true")
            self.assertEqual(service.runs, {"issue-1": 1})

        run_with_testbed(scenario, vm_count=3)

    def test_key_reused_with_another_body_is_refused(self):
        async def scenario(testbed):
            await post(testbed, "issue-1", {"meter": 1})
            status, problem, _ = await post(testbed, "issue-1", {"meter": 2})
            self.assertEqual((status, problem["ran"]), (422, "no"))
            self.assertEqual(problem["type"], "urn:lentilhaven:problem:key-reused")
            self.assertEqual(testbed.services["stock-1"].runs, {"issue-1": 1})

        run_with_testbed(scenario)

    def test_repeat_while_in_progress_is_told_so(self):
        async def scenario(testbed):
            testbed.services["stock-1"].delay = 1.0
            first = asyncio.create_task(post(testbed, "issue-1"))
            await asyncio.sleep(0.5)
            status, problem, headers = await post(testbed, "issue-1", vm=1)
            self.assertEqual((status, problem["ran"]), (409, "unknown"))
            self.assertEqual(headers["Retry-After"], "1")
            self.assertEqual((await first)[0], 200)

        run_with_testbed(scenario, vm_count=2)

    def test_repeat_after_an_unknown_outcome_never_runs(self):
        async def scenario(testbed):
            service = testbed.services["stock-1"]
            service.dead = True
            status, problem, _ = await post(testbed, "issue-1")
            self.assertEqual((status, problem["ran"]), (502, "unknown"))
            service.dead = False
            status, problem, _ = await post(testbed, "issue-1")
            self.assertEqual(status, 409)
            self.assertEqual(problem["type"], "urn:lentilhaven:problem:outcome-unknown")
            self.assertEqual(service.runs, {"issue-1": 1})

        run_with_testbed(scenario)

    def test_library_does_not_repeat_a_put(self):
        async def scenario(testbed):
            service = testbed.services["stock-1"]
            await post(testbed, "issue-1", method="PUT")
            service.dead = True
            await post(testbed, "issue-2", method="PUT")
            self.assertEqual(service.runs["issue-2"], 1)

        run_with_testbed(scenario)

    def test_unknown_outcome_is_resolved_by_asking_the_endpoint(self):
        async def scenario(testbed):
            service = testbed.services["stock-1"]
            service.answers_status = True
            await change_pool(testbed, answers_status=True)
            service.lost_after_rate = 1.0
            status, document, _ = await post(testbed, "issue-1")
            self.assertEqual((status, document["serial"]), (200, 1))
            self.assertEqual(service.runs, {"depot/stock/issue-1": 1})

        run_with_testbed(scenario)

    def test_call_is_sent_again_where_endpoints_check_keys(self):
        async def scenario(testbed):
            service = testbed.services["stock-1"]
            service.checks_keys = True
            await change_pool(testbed, checks_idempotency_keys=True)
            service.lost_after_rate = 1.0
            status, problem, _ = await post(testbed, "issue-1")
            self.assertEqual((status, problem["ran"]), (502, "unknown"))
            service.lost_after_rate = 0.0
            status, document, _ = await post(testbed, "issue-1")
            self.assertEqual((status, document["serial"]), (200, 1))
            self.assertEqual(service.runs, {"depot/stock/issue-1": 1})

        run_with_testbed(scenario)

    def test_store_outage_refuses_calls_before_they_run(self):
        async def scenario(testbed):
            testbed.store.faults.outage = True
            status, problem, headers = await post(testbed, "issue-1")
            self.assertEqual((status, problem["ran"]), (503, "no"))
            self.assertIn("Retry-After", headers)
            testbed.store.faults.outage = False
            self.assertEqual((await post(testbed, "issue-1"))[0], 200)
            self.assertEqual(testbed.services["stock-1"].runs, {"issue-1": 1})

        run_with_testbed(scenario)

    def test_store_outage_allows_calls_where_endpoints_check_keys(self):
        async def scenario(testbed):
            testbed.services["stock-1"].checks_keys = True
            await change_pool(testbed, checks_idempotency_keys=True)
            testbed.store.faults.outage = True
            self.assertEqual((await post(testbed, "issue-1"))[0], 200)

        run_with_testbed(scenario)

    def test_lost_answers_of_the_store_do_not_fail_a_call(self):
        async def scenario(testbed):
            testbed.store.faults.lost_answer_rate = 0.5
            for index in range(20):
                status, _, _ = await post(testbed, f"issue-{index}")
                self.assertEqual(status, 200)
            runs = testbed.services["stock-1"].runs
            self.assertEqual(set(runs.values()), {1})

        run_with_testbed(scenario)

    def test_call_is_settled_though_its_caller_goes_away(self):
        async def scenario(testbed):
            testbed.services["stock-1"].delay = 1.0
            caller = asyncio.create_task(post(testbed, "issue-1"))
            await asyncio.sleep(0.5)
            caller.cancel()
            await asyncio.sleep(1.0)
            status, _, headers = await post(testbed, "issue-1")
            self.assertEqual((status, headers["Idempotency-Replayed"]), (200, "true"))

        run_with_testbed(scenario)

    def test_lookup_is_retried_at_another_endpoint(self):
        async def scenario(testbed):
            spec = testbed.service_endpoints[0]
            unreachable = attrs.evolve(spec, id="stock-0", url="http://127.0.0.1:1")
            await change_pool(testbed, endpoints=[unreachable, spec])
            url = f"{testbed.vms[0].url}/services/stock/items/meter"
            for _ in range(20):
                async with testbed.session.get(url, headers=testbed.headers) as answer:
                    self.assertEqual(answer.status, 200)
            retried = testbed.vms[0].router.counters["lookups_retried"]
            self.assertGreater(retried, 0)
            self.assertLess(retried, 5)

        run_with_testbed(scenario)

    def test_request_ids_of_callers_do_not_grant_a_dispatch(self):
        async def scenario(testbed):
            service = testbed.services["stock-1"]
            service.delay = 0.5
            calls = (
                post(testbed, "issue-1", vm=vm, attempt="same", request="same")
                for vm in range(2)
            )
            answers = await asyncio.gather(*calls)
            self.assertEqual(sorted(it[0] for it in answers), [200, 409])
            self.assertEqual(service.runs, {"issue-1": 1})

        run_with_testbed(scenario, vm_count=2)

    def test_call_that_is_cut_off_by_a_shutdown_is_still_settled(self):
        async def scenario(testbed):
            testbed.services["stock-1"].delay = 1.0
            caller = asyncio.create_task(post(testbed, "issue-1"))
            await asyncio.sleep(0.2)
            force_stop = asyncio.Event()
            force_stop.set()
            await drain(testbed.vms[0].router, force_stop)
            await asyncio.sleep(3.0)
            await asyncio.gather(caller, return_exceptions=True)
            status, _, headers = await post(testbed, "issue-1", vm=1)
            self.assertEqual((status, headers["Idempotency-Replayed"]), (200, "true"))

        run_with_testbed(scenario, vm_count=2)

    def test_claim_that_stands_after_it_was_given_up_is_withdrawn(self):
        async def scenario(testbed):
            faults, service = testbed.store.faults, testbed.services["stock-1"]
            await post(testbed, "issue-0")
            faults.delay, faults.lost_answer_rate = 0.5, 1.0
            caller = asyncio.create_task(post(testbed, "issue-1"))
            await asyncio.sleep(1.2)
            faults.outage = True
            status, problem, _ = await caller
            self.assertEqual((status, problem["ran"]), (503, "no"))
            faults.outage, faults.delay, faults.lost_answer_rate = False, 0.0, 0.0
            await asyncio.sleep(5.0)
            self.assertEqual((await post(testbed, "issue-1"))[0], 200)
            self.assertEqual(service.runs["issue-1"], 1)

        run_with_testbed(scenario)

    def test_shutdown_waits_for_settlements(self):
        async def scenario(testbed):
            router = testbed.vms[0].router
            self.assertEqual((await post(testbed, "issue-1"))[0], 200)
            testbed.store.faults.outage = True
            running = asyncio.create_task(drain(router, asyncio.Event()))
            await asyncio.sleep(3.0)
            self.assertFalse(running.done())
            testbed.store.faults.outage = False
            self.assertEqual(await running, 0)
            self.assertEqual(router.settler.tasks, set())

        run_with_testbed(scenario)

    def test_key_made_in_the_future_is_refused(self):
        async def scenario(testbed):
            key = time_ordered_key(1e6, derive_testbed_random(testbed, "key"))
            status, problem, _ = await post(testbed, key)
            self.assertEqual((status, problem["ran"]), (400, "no"))

        run_with_testbed(scenario)

    def test_refused_connection_moves_on_to_another_endpoint(self):
        async def scenario(testbed):
            spec = testbed.service_endpoints[0]
            unreachable = attrs.evolve(spec, id="stock-0", url="http://127.0.0.1:1")
            await change_pool(testbed, endpoints=[unreachable, spec])
            for index in range(6):
                self.assertEqual((await post(testbed, f"issue-{index}"))[0], 200)
            runs = testbed.services["stock-1"].runs
            self.assertEqual(set(runs.values()), {1})

        run_with_testbed(scenario)
