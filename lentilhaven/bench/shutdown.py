"""
The scenario ``shutdown``: VMs are replaced one after the other under load.

A simulated load balancer sends each request to a VM that reported that it is ready
when last polled.
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
from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.caller import CompletionResult, request_completion

#: Number of shutdowns when no size is given.
DEFAULT_SIZE = 500

#: Number of concurrent callers.
CALLERS = 4

#: Seconds from a VM's first not-ready response until it refuses new requests.
DRAIN_DELAY = 0.1

#: Seconds between two readiness polls of the load balancer.
BALANCER_INTERVAL = 0.05

#: Minimum and maximum length of an answer, in tokens.
ANSWER_LENGTHS = (2, 16)


def run_shutdown(options: ScenarioOptions) -> Report:
    """
    Shut VMs down under load and count the requests that are cut off.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of shutdowns.
    """
    return Report("shutdown", options.seed, run_virtual(measure_shutdown(options)))


async def measure_shutdown(options: ScenarioOptions) -> dict[str, Figure]:
    """Run the shutdowns under load and return the figures."""
    size = options.size or DEFAULT_SIZE
    counts: Counter[str] = Counter()
    plan = TestbedPlan(seed=options.seed, vm_count=3, drain_delay=DRAIN_DELAY)
    async with open_testbed(plan) as testbed:
        ready: list[str] = [vm.url for vm in testbed.vms]
        stopping = asyncio.Event()
        rng = derive_random(options.seed, "callers")
        async with running_tasks(follow_readiness(testbed, ready)):
            callers = [
                asyncio.create_task(
                    call_until_stopped(testbed, ready, stopping, counts, rng)
                )
                for _ in range(CALLERS)
            ]
            for number in range(size):
                await replace_vm(testbed, number, counts, rng)
            stopping.set()
            await asyncio.gather(*callers)
    cut_off = counts["broken"] + counts["truncated"] + counts["failed"]
    return {
        "shutdowns": at_least(counts["shutdowns"], size, "VMs"),
        "in-flight-at-signal": at_least(counts["in-flight"], 1, "requests"),
        "cut-off": at_most(cut_off, 0, "requests"),
        "reported-as-cut": at_most(counts["reported"], 0, "requests"),
        "wrong": at_most(counts["wrong"], 0, "answers"),
        "refused-by-a-leaving-vm": at_most(counts["refused"], 0, "requests"),
        "complete": observed(counts["complete"], "answers"),
    }


async def follow_readiness(testbed: Testbed, ready: list[str]) -> None:
    """Keep the URLs of the ready VMs in `ready`, by polling all VMs until cancelled."""
    while True:
        urls = [vm.url for vm in testbed.vms]
        answers = [await is_ready(testbed, url) for url in urls]
        pairs = zip(urls, answers, strict=True)
        ready[:] = [url for url, answer in pairs if answer]
        await testbed.clock.sleep(BALANCER_INTERVAL)


async def is_ready(testbed: Testbed, url: str) -> bool:
    """Return whether a VM reports that it is ready; False if it does not respond."""
    try:
        async with testbed.session.get(f"{url}/readyz") as response:
            return response.status == 200
    except aiohttp.ClientError:
        return False


async def replace_vm(
    testbed: Testbed, number: int, counts: Counter[str], rng: random.Random
) -> None:
    """Start a new VM, then shut down the oldest one, and count cut-off requests."""
    joined = await testbed.add_vm(f"vm-{number + 10}", DataCentre("mty-a"))
    while not joined.router.ready:
        await testbed.clock.sleep(BALANCER_INTERVAL)
    await testbed.clock.sleep(rng.uniform(0.0, 0.2))
    leaving = testbed.vms[0]
    counts["in-flight"] += leaving.router.in_flight
    counts["reported"] += await drain(leaving.router, asyncio.Event())
    counts["shutdowns"] += 1
    await testbed.kill_vm(leaving)
    testbed.store.vms = [it for it in testbed.store.vms if it.id != leaving.id]


async def call_until_stopped(
    testbed: Testbed,
    ready: list[str],
    stopping: asyncio.Event,
    counts: Counter[str],
    rng: random.Random,
) -> None:
    """Request answers from ready VMs and count outcomes, until `stopping` is set."""
    plan = testbed.plan
    while not stopping.is_set():
        prompt = f"explain item{rng.randrange(10**9)}"
        length = rng.randint(*ANSWER_LENGTHS)
        tokens = split_tokens(prompt)
        expected = reference_answer(plan.version, plan.layer_count, tokens, length)
        body = {"model": plan.model, "prompt": prompt, "max_tokens": length}
        body["stream"] = rng.random() < 0.5
        url = rng.choice(ready)
        answer = await request_completion(testbed.session, url, testbed.headers, body)
        counts[classify(answer, "".join(expected))] += 1


def classify(answer: CompletionResult, expected: str) -> str:
    """Return the outcome of an answer."""
    if answer.done:
        return "complete" if answer.text == expected else "wrong"
    if answer.connection_error:
        return "broken"
    if answer.error is None:
        return "truncated"
    not_run = answer.error["ran"] == "no" and not answer.tokens
    return "refused" if not_run else "failed"
