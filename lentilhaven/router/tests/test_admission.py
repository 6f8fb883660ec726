import asyncio
import unittest

import attrs

from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import TestbedPlan, open_testbed


async def ask(testbed, prompt, max_tokens=20):
    body = {"model": testbed.plan.model, "prompt": prompt, "max_tokens": max_tokens}
    url = f"{testbed.vms[0].url}/v1/completions"
    began = testbed.clock.monotonic()
    async with testbed.session.post(
        url, json=body, headers=testbed.headers
    ) as response:
        document = await response.json()
        waited = testbed.clock.monotonic() - began
        return response, document, waited


def expected_text(testbed, prompt, max_tokens=20):
    plan = testbed.plan
    tokens = reference_answer(plan.version, plan.layer_count, [prompt], max_tokens)
    return "".join(tokens)


async def fix_limit(testbed, limit):
    """Create the pool's admission control with one request, then fix its limit."""
    await ask(testbed, "warm", 2)
    router = testbed.vms[0].router
    adaptive = router.admissions["llm"].gate.state.limit
    adaptive.limit = adaptive.min_limit = adaptive.max_limit = limit
    return router


async def update_workspaces(testbed, **changes):
    tables = testbed.vms[0].router.view.tables
    workspaces = [attrs.evolve(it, **changes) for it in tables.workspaces]
    edited = attrs.evolve(tables, workspaces=workspaces)
    await testbed.wait_until_adopted(await testbed.apply(edited, "limits"))


class AdmissionTests(unittest.TestCase):
    def test_a_request_over_the_limit_waits_and_is_answered_whole(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                router = await fix_limit(testbed, 1)
                prompts = ["p2", "p3", "p4"]  # Each has an answer of full length.
                asked = [ask(testbed, prompt) for prompt in prompts]
                answers = await asyncio.gather(*asked)
                for prompt, (_, document, _) in zip(prompts, answers, strict=True):
                    text = document["choices"][0]["text"]
                    self.assertEqual(text, expected_text(testbed, prompt))
                waits = sorted(waited for _, _, waited in answers)
                self.assertGreater(waits[2], 2.5 * waits[0])
                self.assertEqual(router.admissions["llm"].start_events, {})

        run_virtual(main())

    def test_what_cannot_be_in_time_is_refused_at_once(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                await fix_limit(testbed, 1)
                asked = [ask(testbed, f"p{index}", 100) for index in range(30)]
                answers = await asyncio.gather(*asked)
                refused = [it for it in answers if it[0].status == 503]
                self.assertGreater(len(refused), 0)
                self.assertGreater(len(answers) - len(refused), 0)
                for response, document, waited in refused:
                    self.assertEqual(document["ran"], "no")
                    self.assertEqual(document["step"], "admit")
                    self.assertGreaterEqual(int(response.headers["Retry-After"]), 1)
                    self.assertLessEqual(waited, 0.05)

        run_virtual(main())

    def test_nothing_stays_reserved(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                router = await fix_limit(testbed, 2)
                asked = [ask(testbed, f"p{index}", 50) for index in range(10)]
                await asyncio.gather(*asked)
                state = router.admissions["llm"].gate.state
                self.assertEqual((state.running, state.waiting), ({}, 0))
                self.assertEqual(router.path_states["llm"].reserved_paths, {})

        run_virtual(main())

    def test_a_slow_caller_does_not_count_as_a_slow_engine(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                router = await fix_limit(testbed, 64)
                body = {
                    "model": testbed.plan.model,
                    "prompt": "slow",
                    "max_tokens": 60,
                    "stream": True,
                }
                async with testbed.session.post(
                    f"{testbed.vms[0].url}/v1/completions",
                    json=body,
                    headers=testbed.headers,
                ) as response:
                    await asyncio.sleep(5.0)
                    await response.read()
                gaps = router.admissions["llm"].gate.state.limit.gaps
                self.assertLessEqual(max(gaps), 0.049)

        run_virtual(main())


class QuotaTests(unittest.TestCase):
    def test_a_rate_over_the_limit_is_refused_with_the_time_to_wait(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                await update_workspaces(testbed, max_rate=1.0)
                first = await ask(testbed, "a", 2)
                second = await ask(testbed, "b", 2)
                self.assertEqual(first[0].status, 200)
                self.assertEqual(second[0].status, 429)
                self.assertEqual(second[1]["ran"], "no")
                await asyncio.sleep(int(second[0].headers["Retry-After"]))
                self.assertEqual((await ask(testbed, "c", 2))[0].status, 200)

        run_virtual(main())

    def test_a_concurrency_over_the_limit_is_refused_on_every_interface(self):
        async def main():
            async with open_testbed(TestbedPlan()) as testbed:
                await update_workspaces(testbed, max_concurrency=1)
                url = f"{testbed.vms[0].url}/services/stock/items/a"
                slow = asyncio.create_task(ask(testbed, "a", 50))
                await asyncio.sleep(0.1)
                async with testbed.session.get(
                    url, headers=testbed.headers
                ) as response:
                    self.assertEqual(response.status, 429)
                self.assertEqual((await slow)[0].status, 200)
                async with testbed.session.get(
                    url, headers=testbed.headers
                ) as response:
                    self.assertEqual(response.status, 200)

        run_virtual(main())
