import asyncio
import unittest

from lentilhaven.answers.answer_ledger import AnswerLedger
from lentilhaven.core.failure import FailureError
from lentilhaven.core.ids import RequestId, WorkspaceId
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.router.admission import admitted, get_pool_admission
from lentilhaven.router.answer import Answer
from lentilhaven.router.chain_choice import choose_chain, get_path_state, repair_chain
from lentilhaven.router.completion_request import CompletionRequest
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables import Workspace
from lentilhaven.testbed import TestbedPlan, open_testbed

WORKSPACE = Workspace(WorkspaceId("depot"), [])


def make_answer(router, name):
    tables = router.view.tables
    route, pool = tables.routes[0], tables.pools[0]
    version = pool.endpoints[0].version
    request = RequestId(name)
    return Answer(
        request,
        WorkspaceId("depot"),
        CompletionRequest(pool.model, ["hello "], 10, stream=True, chat=False),
        route,
        pool,
        version,
        router.clock.monotonic() + 60.0,
        AnswerLedger(request, version, pool.layer_count),
    )


class AdmissionContextTests(unittest.TestCase):
    def run_with_router(self, check):
        async def run():
            async with open_testbed(TestbedPlan()) as testbed:
                await check(testbed.vms[0].router)

        before = VIOLATIONS.copy()
        run_virtual(run())
        self.assertEqual(VIOLATIONS, before)

    def test_a_second_request_waits_for_the_first_and_a_flood_is_refused(self):
        async def check(router):
            order = []

            async def work(index):
                answer = make_answer(router, f"r{index}")
                async with admitted(router, answer, WORKSPACE):
                    order.append(index)
                    await asyncio.sleep(0.1)

            gate = get_pool_admission(router, make_answer(router, "first")).gate
            gate.state.limit.limit = 1.0
            gate.state.drain.duration = 0.1
            began = router.clock.monotonic()
            tasks = [asyncio.create_task(work(index)) for index in range(30)]
            outcomes = await asyncio.gather(*tasks, return_exceptions=True)
            refused = [it for it in outcomes if isinstance(it, FailureError)]
            self.assertEqual(order, sorted(order))
            self.assertGreater(len(order), 1)
            self.assertEqual(len(order) + len(refused), 30)
            self.assertTrue(all(it.failure.retry_after > 0 for it in refused))
            waited = router.clock.monotonic() - began
            self.assertAlmostEqual(waited, 0.1 * len(order), places=2)
            self.assertFalse(gate.state.running or gate.state.queues)

        self.run_with_router(check)

    def test_a_caller_who_leaves_the_queue_lets_others_pass(self):
        async def check(router):
            gate = get_pool_admission(router, make_answer(router, "first")).gate
            gate.state.limit.limit = 1.0
            async with admitted(router, make_answer(router, "running"), WORKSPACE):
                context = admitted(router, make_answer(router, "leaver"), WORKSPACE)
                task = asyncio.create_task(context.__aenter__())
                await asyncio.sleep(0)
                self.assertEqual(gate.state.waiting, 1)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                self.assertEqual(gate.state.waiting, 0)
            self.assertFalse(gate.state.running)

        self.run_with_router(check)

    def test_kv_memory_is_reserved_while_admitted_and_follows_a_repair(self):
        async def check(router):
            answer = make_answer(router, "r")
            reserved = get_path_state(router, answer).chooser.loads.kv_reserved
            async with admitted(router, answer, WORKSPACE):
                answer.chain = choose_chain(router, answer)
                first = answer.chain[0].endpoint
                self.assertGreater(reserved[first], 0)
                answer.latency_reporter.record(1, 0.0, router.clock.monotonic())
                answer.chain = repair_chain(router, answer, {first})
                self.assertEqual(reserved[first], 0)
                self.assertGreater(reserved[answer.chain[0].endpoint], 0)
            self.assertFalse(any(reserved.values()))

        self.run_with_router(check)
