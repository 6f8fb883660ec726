"""Requests that end each endpoint that begins to run them."""

import asyncio
import unittest

from lentilhaven.bench.recovery_trial import completion_body, draw_trial
from lentilhaven.core.randomness import derive_random
from lentilhaven.router.completion_request import split_tokens
from lentilhaven.router.tests.test_services import change_pool, post, run_with_testbed
from lentilhaven.testbed.caller import request_completion

#: Crashing and sound requests a second, and seconds for which they are sent.
CRASHING_RATE, SOUND_RATE, SECONDS = 5, 10, 12.0

#: Number of VMs, each of which learns alone, and endpoints that one may see ended:
#: three, and one in a trial.
VMS, ALLOWED_CRASHES = 2, 4

#: Seconds of refusal that callers are told at least.  A trial that has shown nothing is
#: repeated after half a minute.
MIN_RETRY_AFTER = 20

#: Sizes of the testbed.
PLAN = {"vm_count": VMS, "service_count": 6, "replica_count": 4}

CRASHING_TEXT, SOUND_TEXT = "meter-13", "meter-7"


async def send_at_rate(rate, send):
    """Call ``send(number, vm)`` at a rate for `SECONDS`, with each VM in turn."""
    tasks = []
    for number in range(int(rate * SECONDS)):
        tasks.append(asyncio.ensure_future(send(number, number % VMS)))
        await asyncio.sleep(1.0 / rate)
    return await asyncio.gather(*tasks)


async def look_up(testbed, vm, name):
    """Look an item up, and return the status and the problem if there is one."""
    url = f"{testbed.vms[vm].url}/services/stock/items/{name}"
    async with testbed.session.get(url, headers=testbed.headers) as response:
        return response.status, await response.json(), response.headers


class CrashingCallTests(unittest.TestCase):
    """
    Guard against a call that ends one endpoint after the other.

    Each request ended as many endpoints as its route allows attempts, and the next one
    began with the same endpoints again.
    """

    def check(self, send, **pool):
        """Send crashing calls beside sound ones by ``send(testbed, vm, text, key)``."""

        async def scenario(testbed):
            if pool:
                await change_pool(testbed, **pool)
            for service in testbed.services.values():
                service.crashing_text = CRASHING_TEXT
                service.checks_keys = bool(pool)
            crashing, sound = await asyncio.gather(
                send_at_rate(
                    CRASHING_RATE,
                    lambda it, vm: send(testbed, vm, CRASHING_TEXT, f"crash-{it}"),
                ),
                send_at_rate(
                    SOUND_RATE,
                    lambda it, vm: send(testbed, vm, SOUND_TEXT, f"sound-{it}"),
                ),
            )
            crashes = sum(it.crashes for it in testbed.services.values())
            self.assertLessEqual(crashes, VMS * ALLOWED_CRASHES)
            self.assertEqual({it[0] for it in sound}, {200})
            for status, problem, headers in crashing[-10:]:
                self.assertEqual((status, problem["ran"]), (503, "no"))
                self.assertGreater(int(headers["Retry-After"]), MIN_RETRY_AFTER)

        run_with_testbed(scenario, **PLAN)

    def test_lookup(self):
        self.check(lambda testbed, vm, text, key: look_up(testbed, vm, text))

    def test_posting(self):
        self.check(lambda testbed, vm, text, key: post(testbed, key, text, vm=vm))

    def test_posting_that_is_sent_again_where_endpoints_check_keys(self):
        self.check(
            lambda testbed, vm, text, key: post(testbed, key, text, vm=vm),
            checks_idempotency_keys=True,
        )

    def test_posting_that_is_repeated_with_its_key(self):
        """The journal grants the claim again where endpoints check keys."""
        self.check(
            lambda testbed, vm, text, key: post(testbed, f"key-of-{text}", text, vm=vm),
            checks_idempotency_keys=True,
        )


class CrashingPromptTests(unittest.TestCase):
    """Guards against a prompt that ends one engine after the other."""

    def test_prompt_that_ends_the_head_of_its_chain(self):
        async def scenario(testbed):
            rng = derive_random(1, "trial")
            bodies = [
                completion_body(testbed, draw_trial(testbed, rng, silent=False))
                for _ in range(2)
            ]
            prompts = [split_tokens(body["prompt"]) for body in bodies]
            for engine in testbed.engines.values():
                engine.faults.crashing_prompt = prompts[0]

            async def send(number, vm, body):
                url = testbed.vms[vm].url
                return await request_completion(
                    testbed.session, url, testbed.headers, body
                )

            crashing, sound = await asyncio.gather(
                send_at_rate(CRASHING_RATE, lambda it, vm: send(it, vm, bodies[0])),
                send_at_rate(1, lambda it, vm: send(it, vm, bodies[1])),
            )
            crashes = sum(it.faults.crashes for it in testbed.engines.values())
            self.assertLessEqual(crashes, VMS * ALLOWED_CRASHES)
            self.assertTrue(all(it.done for it in sound))
            self.assertEqual({it.error["ran"] for it in crashing[-10:]}, {"no"})

        run_with_testbed(scenario, **PLAN)


class SoundCallTests(unittest.TestCase):
    """Guard against refusals of calls that are sound, or sound again."""

    def test_hot_lookup_is_served_after_ordinary_crashes(self):
        async def scenario(testbed):
            names = list(testbed.services)[:3]
            task = asyncio.ensure_future(
                send_at_rate(SOUND_RATE, lambda _, vm: look_up(testbed, vm, SOUND_TEXT))
            )
            await asyncio.sleep(3.0)
            for name in names:
                testbed.services[name].crashing_text = SOUND_TEXT
            await asyncio.sleep(1.0)
            for name in names:
                testbed.services[name].crashing_text = ""
            self.assertGreaterEqual(
                sum(testbed.services[it].crashes for it in names), 3
            )
            self.assertEqual({it[0] for it in (await task)[-80:]}, {200})

        run_with_testbed(scenario, **PLAN)

    def test_call_that_is_sound_again_is_served_after_a_trial(self):
        async def scenario(testbed):
            for service in testbed.services.values():
                service.crashing_text = CRASHING_TEXT
            for _ in range(3):
                status, problem, headers = await look_up(testbed, 0, CRASHING_TEXT)
            self.assertEqual((status, problem["ran"]), (503, "no"))
            for service in testbed.services.values():
                service.crashing_text = ""
            await asyncio.sleep(float(headers["Retry-After"]) + 1.0)
            found = [await look_up(testbed, 0, CRASHING_TEXT) for _ in range(3)]
            self.assertEqual([it[0] for it in found], [200] * 3)

        run_with_testbed(scenario, **PLAN)

    def test_other_calls_are_served_beside_a_refused_one(self):
        async def scenario(testbed):
            for service in testbed.services.values():
                service.crashing_text = CRASHING_TEXT
            for _ in range(3):
                refused = await look_up(testbed, 0, CRASHING_TEXT)
            served = await look_up(testbed, 0, SOUND_TEXT)
            self.assertEqual((refused[0], served[0]), (503, 200))

        run_with_testbed(scenario, **PLAN)
