"""
The scenario ``integrity``: answers under faults, compared with a reference model.

The reference model generates an answer sequentially, without engines.
"""

import asyncio
from collections import Counter

import attrs

from lentilhaven.bench.engine_chaos import EngineChaos
from lentilhaven.bench.figure import at_least, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.tasks import running_tasks
from lentilhaven.router.completion_request import split_tokens
from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.caller import CompletionResult, request_completion

#: Number of answers when no size is given.
DEFAULT_SIZE = 10_000

#: Number of concurrent callers.
CALLERS = 12

#: Seconds that a caller waits after an error, as ``Retry-After`` requests.
RETRY_AFTER = 1.0

#: Maximum length of an answer, in tokens.
MAX_TOKENS = 12


@attrs.define
class IntegrityTally:
    """
    Outcomes of answers.

    Attributes
    ----------
    outcomes : Counter
        Number of answers by outcome.
    expected : dict
        Tokens that the reference model generates for the answers in progress, by
        prompt.
    """

    outcomes: Counter[str] = attrs.field(factory=Counter)
    expected: dict[str, list[str]] = attrs.field(factory=dict)

    def classify(self, prompt: str, answer: CompletionResult) -> str:
        """
        Return the outcome of an answer.

        Parameters
        ----------
        prompt : str
            Prompt of the request.
        answer : CompletionResult
            Answer that the caller received.

        Returns
        -------
        str
            ``"complete"``, ``"wrong"``, ``"mixed"`` (wrong, with tokens of another
            answer), ``"truncated"`` without notice, ``"broken"`` connection,
            ``"refused"`` without having run, or ``"failed"`` with another error.
        """
        expected_text = "".join(self.expected[prompt])
        if not expected_text.startswith(answer.text):
            return "mixed" if self.is_mixed(prompt, answer) else "wrong"
        if answer.done:
            return "complete" if answer.text == expected_text else "truncated"
        if answer.truncated_silently:
            return "truncated"
        if answer.connection_error:
            return "broken"
        ran = answer.error["ran"] if answer.error is not None else ""
        return "refused" if ran == "no" else "failed"

    def is_mixed(self, prompt: str, answer: CompletionResult) -> bool:
        """Return whether an answer has tokens that only other open answers expect."""
        own = set(self.expected[prompt])
        others = {it for name, tokens in self.expected.items() for it in tokens}
        received = {token + " " for token in answer.text.split()}
        return bool((received - own) & others)


def run_integrity(options: ScenarioOptions) -> Report:
    """
    Compare answers under random faults with those of the reference model.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of answers.
    """
    VIOLATIONS.clear()
    figures = run_virtual(measure_integrity(options))
    return Report("integrity", options.seed, figures)


async def measure_integrity(options: ScenarioOptions) -> dict:
    """Run callers under faults and return the figures."""
    size = options.size or DEFAULT_SIZE
    tally = IntegrityTally()
    plan = TestbedPlan(seed=options.seed, replica_count=3)
    async with open_testbed(plan) as testbed:
        chaos = EngineChaos(testbed, derive_random(options.seed, "chaos"))
        chaos.add_noise()
        numbers = iter(range(size))
        async with running_tasks(chaos.run()):
            callers = [
                call_repeatedly(testbed, tally, numbers, options.seed)
                for _ in range(CALLERS)
            ]
            await asyncio.gather(*callers)
        counters = testbed.vms[0].router.counters
        faults, noise = sum(chaos.injected.values()), chaos.noise_injected
    dropped = sum(n for name, n in counters.items() if name.startswith("dropped_"))
    outcomes = tally.outcomes
    return {
        "answers": at_least(sum(outcomes.values()), size, "answers"),
        "wrong": at_most(outcomes["wrong"], 0, "answers"),
        "mixed": at_most(outcomes["mixed"], 0, "answers"),
        "truncated-silently": at_most(outcomes["truncated"], 0, "answers"),
        "connection-broken": at_most(outcomes["broken"], 0, "answers"),
        "violations": at_most(sum(VIOLATIONS.values()), 0, "invariants"),
        "faults-injected": at_least(faults, 1, "faults"),
        "pieces-disturbed": at_least(noise, 1, "pieces"),
        "pieces-dropped": observed(dropped, "pieces"),
        "attempts-replaced": observed(counters["attempts_replaced"], "attempts"),
        "refused-as-not-run": observed(outcomes["refused"], "answers"),
        "failed-with-error": observed(outcomes["failed"], "answers"),
        "complete": observed(outcomes["complete"], "answers"),
    }


async def call_repeatedly(
    testbed: Testbed, tally: IntegrityTally, numbers, seed: int
) -> None:
    """Request answers, one per number, until `numbers` is exhausted; count outcomes."""
    plan = testbed.plan
    for number in numbers:
        rng = derive_random(seed, "caller", str(number))
        words = [f"count{rng.randrange(10)}" for _ in range(rng.randint(0, 5))]
        prompt = " ".join([*words, f"item{number}"])
        length = rng.randint(1, MAX_TOKENS)
        tokens = split_tokens(prompt)
        expected = reference_answer(plan.version, plan.layer_count, tokens, length)
        tally.expected[prompt] = expected
        body = {"model": plan.model, "prompt": prompt, "max_tokens": length}
        body["stream"] = rng.random() < 0.5
        url = testbed.vms[0].url
        answer = await request_completion(testbed.session, url, testbed.headers, body)
        tally.outcomes[tally.classify(prompt, answer)] += 1
        del tally.expected[prompt]
        if answer.error is not None:
            await testbed.clock.sleep(RETRY_AFTER)
