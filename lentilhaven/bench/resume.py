"""
The scenario ``resume``: callers resume answers after losing a connection or a VM.

Each answer is interrupted several times: the caller disconnects, or the VM that
answers it fails.  The caller sends its request again, with the id of the last
event, to a random VM.
"""

import asyncio
import itertools
import random
from collections import Counter

import attrs

from lentilhaven.bench.engine_chaos import EngineChaos
from lentilhaven.bench.figure import Figure, at_least, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.ids import DataCentre
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.tasks import running_tasks
from lentilhaven.router.completion_request import split_tokens
from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.caller import CompletionResult, request_completion

#: Number of answers when no size is given.
DEFAULT_SIZE = 500

#: Number of concurrent callers.
CALLERS = 6

#: Maximum number of tokens of an answer.
MAX_TOKENS = 40

#: Probability that a caller disconnects after a token.
DISCONNECT_CHANCE = 0.05

#: Range of the seconds between two failures of a VM.
DEATH_INTERVAL = (0.5, 2.0)

#: Seconds between two attempts of a caller.
RETRY_DELAY = 0.05

#: Number of attempts after which a caller gives up.
MAX_ATTEMPTS = 60

#: Seconds after the last answer at which no stream may run any more: the deadline of
#: an answer, which bounds a stream that hangs on a silent connection after its router
#: has failed, plus the resume window.
CANCEL_LIMIT = 70.0


class DisconnectError(ConnectionError):
    """Raised by a caller to close its connection."""


@attrs.define
class ResumeTally:
    """
    Outcomes of answers and events of a run.

    Attributes
    ----------
    counts : Counter
        Number of events by name.
    """

    counts: Counter[str] = attrs.field(factory=Counter)

    def record(self, answer: CompletionResult, expected: list[str]) -> None:
        """
        Count the outcome of an answer.

        Parameters
        ----------
        answer : CompletionResult
            Answer that the caller received over all its connections.
        expected : list of str
            Tokens of the reference model's answer.
        """
        received = answer.tokens
        self.counts["answers"] += 1
        self.counts["complete"] += answer.done and received == expected
        self.counts["given-up"] += not answer.done
        if received == expected[: len(received)]:
            self.counts["skipped"] += answer.done and len(received) < len(expected)
            return
        extra = Counter(received) - Counter(expected)
        self.counts["repeated" if extra else "skipped"] += 1


def run_resume(options: ScenarioOptions) -> Report:
    """
    Break connections and kill VMs during answers, and check what callers receive.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of answers.
    """
    return Report("resume", options.seed, run_virtual(measure_resume(options)))


async def measure_resume(options: ScenarioOptions) -> dict[str, Figure]:
    """Run callers under faults and return the figures."""
    size = options.size or DEFAULT_SIZE
    tally, rng = ResumeTally(), derive_random(options.seed, "resume")
    plan = TestbedPlan(seed=options.seed, vm_count=3, replica_count=3)
    async with open_testbed(plan) as testbed:
        chaos = EngineChaos(testbed, derive_random(options.seed, "chaos"))
        chaos.add_noise()
        numbers = iter(range(size))
        async with running_tasks(kill_vms(testbed, rng, tally), chaos.run()):
            await asyncio.gather(
                *(call_repeatedly(testbed, tally, numbers, rng) for _ in range(CALLERS))
            )
        await testbed.clock.sleep(CANCEL_LIMIT)
        tally.counts["left"] = count_running(testbed)
        refused = await count_refusals(testbed)
    counts = tally.counts
    return {
        "answers": at_least(counts["answers"], size, "answers"),
        "repeated": at_most(counts["repeated"], 0, "answers"),
        "skipped": at_most(counts["skipped"], 0, "answers"),
        "given-up": at_most(counts["given-up"], 0, "answers"),
        "vm-deaths": at_least(counts["vm-deaths"], 1, "VMs"),
        "disconnects": at_least(counts["disconnects"], 1, "connections"),
        "resumed": at_least(counts["resumed"], 1, "requests"),
        "asked-from-the-start": observed(counts["lost"], "requests"),
        "streams-left-running": at_most(counts["left"], 0, "streams"),
        "bad-ids-accepted": at_most(BAD_IDS - refused, 0, "ids"),
    }


async def kill_vms(testbed: Testbed, rng: random.Random, tally: ResumeTally) -> None:
    """Kill one VM after the other and start another in its place until cancelled."""
    for number in itertools.count(len(testbed.vms) + 1):
        await testbed.clock.sleep(rng.uniform(*DEATH_INTERVAL))
        vm = rng.choice(testbed.vms)
        tally.counts["vm-deaths"] += 1
        for transport in list(vm.router.transports):
            transport.abort()
        await testbed.kill_vm(vm)
        testbed.store.vms = [it for it in testbed.store.vms if it.id != vm.id]
        await testbed.add_vm(f"vm-{number}", DataCentre("mty-a"))


async def call_repeatedly(
    testbed: Testbed, tally: ResumeTally, numbers, rng: random.Random
) -> None:
    """Request one answer after the other until no number is left."""
    plan = testbed.plan
    for number in numbers:
        prompt = f"explain item{number}"
        tokens = split_tokens(prompt)
        expected = reference_answer(plan.version, plan.layer_count, tokens, MAX_TOKENS)
        body = {"model": plan.model, "prompt": prompt, "max_tokens": MAX_TOKENS}
        answer = await ask_until_done(testbed, body | {"stream": True}, tally, rng)
        tally.record(answer, expected)


async def ask_until_done(
    testbed: Testbed, body: dict, tally: ResumeTally, rng: random.Random
) -> CompletionResult:
    """
    Ask, and resume with the id of the last event, until the answer is complete.

    If the answer can no longer be resumed, ask from the start.  Return the answer so
    far after `MAX_ATTEMPTS`.
    """

    async def on_token(answer: CompletionResult) -> None:
        if rng.random() < DISCONNECT_CHANCE:
            raise DisconnectError("the caller closed its connection")

    answer = CompletionResult()
    for _ in range(MAX_ATTEMPTS):
        tally.counts["resumed"] += bool(answer.event_id)
        url = rng.choice(testbed.vms).url
        await request_completion(
            testbed.session, url, testbed.headers, body, answer, on_token
        )
        if answer.done:
            break
        tally.counts["disconnects"] += "DisconnectError" in answer.connection_error
        if answer.error is not None and answer.error["type"].endswith("resume-lost"):
            tally.counts["lost"] += 1
            answer = CompletionResult()
        await testbed.clock.sleep(RETRY_DELAY)
    return answer


def count_running(testbed: Testbed) -> int:
    """Return the number of streams that engines are still generating."""
    return sum(not task.done() for it in testbed.engines.values() for task in it.tasks)


#: Number of invalid event ids that `count_refusals` tries.
BAD_IDS = 4


async def count_refusals(testbed: Testbed) -> int:
    """Return how many forged, altered, truncated or malformed event ids are refused."""
    plan = testbed.plan
    body = {"model": plan.model, "prompt": "explain", "max_tokens": 4, "stream": True}
    url = testbed.vms[0].url
    genuine = await request_completion(testbed.session, url, testbed.headers, body)
    stream, position, finished, signature = genuine.event_id.split(".")
    bad_ids = [
        f"{stream}.{position}.{finished}.{signature[::-1]}",
        f"{stream}.{int(position) - 1}.{finished}.{signature}",
        f"{stream}.{position}.{finished}",
        "7",
    ]
    refused = 0
    for event_id in bad_ids:
        answer = CompletionResult(event_id=event_id)
        await request_completion(testbed.session, url, testbed.headers, body, answer)
        kind = answer.error["type"] if answer.error is not None else ""
        refused += kind.endswith("resume-refused") and not answer.tokens
    return refused
