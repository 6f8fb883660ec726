"""
The scenario ``resume``: callers that lose their connection or their VM come back.

Each answer is broken off several times: the caller disconnects, or the VM that
answers it dies.  The caller sends its request again, with the id of the last
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
from lentilhaven.standins.toy_model import naive_answer
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.caller import CallerAnswer, ask

#: Answers asked for when no size is given.
DEFAULT_SIZE = 500

#: Callers at the same time.
CALLERS = 6

#: Tokens of the longest answer.
LONGEST = 40

#: Chance that a caller disconnects after a token.
DISCONNECT_CHANCE = 0.05

#: Bounds of the seconds between two deaths of a VM.
DEATH_GAP = (0.5, 2.0)

#: Seconds between two tries of a caller.
RETRY_DELAY = 0.05

#: Tries after which a caller gives up.
TRIES = 60

#: Seconds after which no stream may be left: the deadline of an answer, which
#: bounds a stream that hangs at a silent connection after its router has died,
#: and the resume window.
CANCEL_LIMIT = 70.0


class DisconnectError(ConnectionError):
    """The caller breaks its connection."""


@attrs.define
class ResumeTally:
    """
    How answers went.

    Attributes
    ----------
    counts : Counter
        Events by name.
    """

    counts: Counter[str] = attrs.field(factory=Counter)

    def judge(self, answer: CallerAnswer, expected: list[str]) -> None:
        """
        Count how an answer ended.

        Parameters
        ----------
        answer : CallerAnswer
            What the caller received over all its connections.
        expected : list of str
            The naive model's tokens.
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
    Break connections and VMs under answers, and compare what arrives.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of answers.
    """
    return Report("resume", options.seed, run_virtual(measure_resume(options)))


async def measure_resume(options: ScenarioOptions) -> dict[str, Figure]:
    """Return the figures of a run."""
    size = options.size or DEFAULT_SIZE
    tally, chance = ResumeTally(), derive_random(options.seed, "resume")
    plan = TestbedPlan(seed=options.seed, vm_count=3, replica_count=3)
    async with open_testbed(plan) as testbed:
        chaos = EngineChaos(testbed, derive_random(options.seed, "chaos"))
        chaos.add_noise()
        numbers = iter(range(size))
        async with running_tasks(kill_vms(testbed, chance, tally), chaos.run()):
            await asyncio.gather(
                *(
                    call_repeatedly(testbed, tally, numbers, chance)
                    for _ in range(CALLERS)
                )
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


async def kill_vms(testbed: Testbed, chance: random.Random, tally: ResumeTally) -> None:
    """Let one VM after the other die, and start another in its place."""
    for number in itertools.count(len(testbed.vms) + 1):
        await testbed.clock.sleep(chance.uniform(*DEATH_GAP))
        vm = chance.choice(testbed.vms)
        tally.counts["vm-deaths"] += 1
        for transport in list(vm.router.transports):
            transport.abort()
        await testbed.kill_vm(vm)
        testbed.store.vms = [it for it in testbed.store.vms if it.id != vm.id]
        await testbed.add_vm(f"vm-{number}", DataCentre("mty-a"))


async def call_repeatedly(
    testbed: Testbed, tally: ResumeTally, numbers, chance: random.Random
) -> None:
    """Ask for one answer after the other until no number is left."""
    plan = testbed.plan
    for number in numbers:
        prompt = f"explain item{number}"
        tokens = split_tokens(prompt)
        expected = naive_answer(plan.version, plan.layer_count, tokens, LONGEST)
        body = {"model": plan.model, "prompt": prompt, "max_tokens": LONGEST}
        answer = await ask_until_done(testbed, body | {"stream": True}, tally, chance)
        tally.judge(answer, expected)


async def ask_until_done(
    testbed: Testbed, body: dict, tally: ResumeTally, chance: random.Random
) -> CallerAnswer:
    """Ask, and ask again with the last event's id, until the answer is whole."""

    async def on_token(answer: CallerAnswer) -> None:
        if chance.random() < DISCONNECT_CHANCE:
            raise DisconnectError("the caller breaks its connection")

    answer = CallerAnswer()
    for _ in range(TRIES):
        tally.counts["resumed"] += bool(answer.event_id)
        url = chance.choice(testbed.vms).url
        await ask(testbed.session, url, testbed.headers, body, answer, on_token)
        if answer.done:
            break
        tally.counts["disconnects"] += "DisconnectError" in answer.broken
        if answer.error is not None and answer.error["type"].endswith("resume-lost"):
            tally.counts["lost"] += 1
            answer = CallerAnswer()
        await testbed.clock.sleep(RETRY_DELAY)
    return answer


def count_running(testbed: Testbed) -> int:
    """Return the number of streams that engines still generate."""
    return sum(not task.done() for it in testbed.engines.values() for task in it.tasks)


#: Number of bad ids that `count_refusals` tries.
BAD_IDS = 4


async def count_refusals(testbed: Testbed) -> int:
    """Return how many ids that are forged, cut, moved or of no kind are refused."""
    plan = testbed.plan
    body = {"model": plan.model, "prompt": "explain", "max_tokens": 4, "stream": True}
    url = testbed.vms[0].url
    genuine = await ask(testbed.session, url, testbed.headers, body)
    stream, position, finished, sign = genuine.event_id.split(".")
    bad = [
        f"{stream}.{position}.{finished}.{sign[::-1]}",
        f"{stream}.{int(position) - 1}.{finished}.{sign}",
        f"{stream}.{position}.{finished}",
        "7",
    ]
    refused = 0
    for event_id in bad:
        answer = CallerAnswer(event_id=event_id)
        await ask(testbed.session, url, testbed.headers, body, answer)
        kind = answer.error["type"] if answer.error is not None else ""
        refused += kind.endswith("resume-refused") and not answer.tokens
    return refused
