import unittest

import attrs

from lentilhaven.core.hashing import token_hash
from lentilhaven.router.completion_request import split_tokens
from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables.workspace import Workspace
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.caller import CompletionResult, request_completion

PROMPT = "explain the count"
LENGTH = 30


def body(testbed, **changes):
    request_body = {"model": testbed.plan.model, "prompt": PROMPT, "max_tokens": LENGTH}
    return request_body | {"stream": True} | changes


def expected_tokens(testbed):
    plan = testbed.plan
    tokens = split_tokens(PROMPT)
    return reference_answer(plan.version, plan.layer_count, tokens, LENGTH)


async def ask_and_disconnect(testbed, count):
    """Return an answer whose caller disconnects after some tokens."""

    async def on_token(answer):
        if len(answer.tokens) == count:
            raise ConnectionError("the caller disconnects")

    request = (testbed.session, testbed.vms[0].url, testbed.headers, body(testbed))
    return await request_completion(*request, on_token=on_token)


class ResumeTests(unittest.TestCase):
    def test_another_vm_goes_on(self):
        async def main():
            async with open_testbed(TestbedPlan(vm_count=2)) as testbed:
                answer = await ask_and_disconnect(testbed, 7)
                url = testbed.vms[1].url
                await request_completion(
                    testbed.session, url, testbed.headers, body(testbed), answer
                )
                self.assertEqual(answer.tokens, expected_tokens(testbed))
                self.assertTrue(answer.done)

        run_virtual(main())

    def test_a_finished_answer_is_only_closed(self):
        async def main():
            async with open_testbed(TestbedPlan(vm_count=2)) as testbed:
                answer = await ask_and_disconnect(testbed, LENGTH)
                url = testbed.vms[1].url
                await request_completion(
                    testbed.session, url, testbed.headers, body(testbed), answer
                )
                self.assertEqual(answer.tokens, expected_tokens(testbed))
                self.assertTrue(answer.done)

        run_virtual(main())

    def test_tokens_of_an_earlier_attempt_are_sent_again(self):
        async def main():
            async with open_testbed(TestbedPlan(vm_count=2)) as testbed:
                early = await ask_and_disconnect(testbed, 3)
                point = early.event_id
                # A second connection forces an attempt that starts at a later position.
                later = CompletionResult(event_id=point)

                async def on_token(answer):
                    if len(answer.tokens) == 5:
                        names = sorted(testbed.engines)
                        busy = [it for it in names if testbed.engines[it].streams]
                        testbed.engines[busy[1]].kill()

                url, headers = testbed.vms[1].url, testbed.headers
                request_body = body(testbed)
                await request_completion(
                    testbed.session, url, headers, request_body, later, on_token
                )
                self.assertTrue(later.done, later)
                again = CompletionResult(event_id=point)
                await request_completion(
                    testbed.session, url, headers, request_body, again
                )
                self.assertEqual(early.tokens + again.tokens, expected_tokens(testbed))

        run_virtual(main())

    def test_a_foreign_workspace_is_refused(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                tables = testbed.vms[0].router.view.tables
                other = Workspace("other", [token_hash("other-token")])
                workspaces = [*tables.workspaces, other]
                edited = attrs.evolve(tables, workspaces=workspaces)
                await testbed.wait_until_adopted(await testbed.apply(edited, "other"))
                answer = await ask_and_disconnect(testbed, 7)
                foreign = CompletionResult(event_id=answer.event_id)
                headers = {"Authorization": "Bearer other-token"}
                url = testbed.vms[0].url
                await request_completion(
                    testbed.session, url, headers, body(testbed), foreign
                )
                self.assertEqual(foreign.tokens, [])
                self.assertTrue(foreign.error["type"].endswith("resume-refused"))

        run_virtual(main())

    def test_an_expired_id_and_another_request_are_refused(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                answer = await ask_and_disconnect(testbed, 7)
                url, headers = testbed.vms[0].url, testbed.headers
                other = CompletionResult(event_id=answer.event_id)
                request_body = body(testbed, prompt="something else")
                await request_completion(
                    testbed.session, url, headers, request_body, other
                )
                self.assertTrue(other.error["type"].endswith("resume-mismatch"))
                await testbed.clock.sleep(600.0)
                late = CompletionResult(event_id=answer.event_id)
                await request_completion(
                    testbed.session, url, headers, body(testbed), late
                )
                self.assertTrue(late.error["type"].endswith("resume-expired"))

        run_virtual(main())

    def test_streams_are_cancelled_after_the_window(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                await ask_and_disconnect(testbed, 7)
                window = testbed.vms[0].router.settings.resume_window
                await testbed.clock.sleep(window / 2)
                held = sum(len(it.streams) for it in testbed.engines.values())
                self.assertEqual(held, testbed.plan.range_count)
                await testbed.clock.sleep(window / 2 + 1.0)
                held = sum(len(it.streams) for it in testbed.engines.values())
                self.assertEqual(held, 0)

        run_virtual(main())

    def test_a_stream_that_somebody_reads_is_not_cancelled(self):
        async def main():
            plan = TestbedPlan(vm_count=2, decode_time=0.3)
            async with open_testbed(plan) as testbed:
                answer = await ask_and_disconnect(testbed, 7)
                url = testbed.vms[1].url
                await request_completion(
                    testbed.session, url, testbed.headers, body(testbed), answer
                )
                self.assertEqual(answer.tokens, expected_tokens(testbed))
                counters = testbed.vms[0].router.counters
                self.assertEqual(counters["answers_abandoned"], 0)

        run_virtual(main())
