"""
The scenario ``shutdown``: VMs leave one after the other under load.

A balancer's stand-in sends each request to a VM that said it is ready when it
was last asked.
"""

import asyncio
import random
from collections import Counter

import aiohttp

from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.ids import DataCentre
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.tasks import running_tasks
from lentilhaven.router.completion_request import split_tokens
from lentilhaven.router.shutdown import drain
from lentilhaven.standins.toy_model import naive_answer
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.caller import CallerAnswer, ask

#: Shutdowns when no size is given.
DEFAULT_SIZE = 500

#: Callers at the same time.
CALLERS = 4

#: Seconds between a VM's saying not ready and its refusing new work.
DRAIN_DELAY = 0.1

#: Seconds between two questions of the balancer.
BALANCER_INTERVAL = 0.05

#: Bounds of an answer's length, in tokens.
LENGTHS = (2, 16)


def run_shutdown(options: ScenarioOptions) -> Report:
    """
    Shut VMs down under load and count what is cut off.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of shutdowns.
    """
    return Report("shutdown", options.seed, run_virtual(measure_shutdown(options)))


async def measure_shutdown(options: ScenarioOptions) -> dict[str, Figure]:
    """Return the figures of a run."""
    size = options.size or DEFAULT_SIZE
    counts: Counter[str] = Counter()
    plan = TestbedPlan(seed=options.seed, vm_count=3, drain_delay=DRAIN_DELAY)
    async with open_testbed(plan) as testbed:
        ready: list[str] = [vm.url for vm in testbed.vms]
        stopping = asyncio.Event()
        chance = derive_random(options.seed, "callers")
        async with running_tasks(follow_readiness(testbed, ready)):
            callers = [
                asyncio.create_task(
                    call_until(testbed, ready, stopping, counts, chance)
                )
                for _ in range(CALLERS)
            ]
            for number in range(size):
                await replace_vm(testbed, number, counts, chance)
            stopping.set()
            await asyncio.gather(*callers)
    cut = counts["broken"] + counts["truncated"] + counts["failed"]
    return {
        "shutdowns": at_least(counts["shutdowns"], size, "VMs"),
        "in-flight-at-signal": at_least(counts["in-flight"], 1, "requests"),
        "cut-off": at_most(cut, 0, "requests"),
        "reported-as-cut": at_most(counts["reported"], 0, "requests"),
        "wrong": at_most(counts["wrong"], 0, "answers"),
        "refused-by-a-leaving-vm": at_most(counts["refused"], 0, "requests"),
        "complete": observed(counts["complete"], "answers"),
    }


async def follow_readiness(testbed: Testbed, ready: list[str]) -> None:
    """Ask every VM whether it is ready, for ever."""
    while True:
        urls = [vm.url for vm in testbed.vms]
        answers = [await is_ready(testbed, url) for url in urls]
        pairs = zip(urls, answers, strict=True)
        ready[:] = [url for url, answer in pairs if answer]
        await testbed.clock.sleep(BALANCER_INTERVAL)


async def is_ready(testbed: Testbed, url: str) -> bool:
    """Return whether a VM says that it is ready; one that is gone is not."""
    try:
        async with testbed.session.get(f"{url}/readyz") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def replace_vm(
    testbed: Testbed, number: int, counts: Counter[str], chance: random.Random
) -> None:
    """Let the oldest VM leave, and another join first."""
    joined = await testbed.add_vm(f"vm-{number + 10}", DataCentre("mty-a"))
    while not joined.router.ready:
        await testbed.clock.sleep(BALANCER_INTERVAL)
    await testbed.clock.sleep(chance.uniform(0.0, 0.2))
    leaving = testbed.vms[0]
    counts["in-flight"] += leaving.router.in_flight
    counts["reported"] += await drain(leaving.router, asyncio.Event())
    counts["shutdowns"] += 1
    await testbed.kill_vm(leaving)
    testbed.store.vms = [it for it in testbed.store.vms if it.id != leaving.id]


async def call_until(
    testbed: Testbed,
    ready: list[str],
    stopping: asyncio.Event,
    counts: Counter[str],
    chance: random.Random,
) -> None:
    """Ask for answers until the scenario ends."""
    plan = testbed.plan
    while not stopping.is_set():
        prompt = f"explain item{chance.randrange(10**9)}"
        length = chance.randint(*LENGTHS)
        tokens = split_tokens(prompt)
        expected = naive_answer(plan.version, plan.layer_count, tokens, length)
        body = {"model": plan.model, "prompt": prompt, "max_tokens": length}
        body["stream"] = chance.random() < 0.5
        url = chance.choice(ready)
        answer = await ask(testbed.session, url, testbed.headers, body)
        counts[judge(answer, "".join(expected))] += 1


def judge(answer: CallerAnswer, expected: str) -> str:
    """Return how an answer ended."""
    if answer.done:
        return "complete" if answer.text == expected else "wrong"
    if answer.broken:
        return "broken"
    if answer.error is None:
        return "truncated"
    not_run = answer.error["ran"] == "no" and not answer.tokens
    return "refused" if not_run else "failed"
