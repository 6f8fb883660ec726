"""The scenario ``smoke``: a few answers through the whole request path."""

from lentilhaven.bench.figure import at_most
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed

#: Number of answers when no size is given.
DEFAULT_SIZE = 20


def run_smoke(options: ScenarioOptions) -> Report:
    """
    Compare complete answers with those of `reference_answer`, which uses no engines.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of answers.
    """
    wrong = run_virtual(count_wrong(options))
    return Report("smoke", options.seed, {"wrong": at_most(wrong, 0, "answers")})


async def count_wrong(options: ScenarioOptions) -> int:
    """
    Return the number of answers that differ from those of `reference_answer`.

    That function computes the toy model directly, without the router and the engines.
    """
    wrong = 0
    async with open_testbed(TestbedPlan(seed=options.seed)) as testbed:
        for index in range(options.size or DEFAULT_SIZE):
            text = await complete_text(testbed, f"explain count {index}", 12)
            plan = testbed.plan
            prompt = ["explain ", "count ", str(index)]
            expected = reference_answer(plan.version, plan.layer_count, prompt, 12)
            wrong += text != "".join(expected)
    return wrong


async def complete_text(testbed: Testbed, prompt: str, max_tokens: int) -> str:
    """Request a complete answer from the first VM and return its text."""
    body = {"model": testbed.plan.model, "prompt": prompt, "max_tokens": max_tokens}
    url = f"{testbed.vms[0].url}/v1/completions"
    async with testbed.session.post(
        url, json=body, headers=testbed.headers
    ) as response:
        response.raise_for_status()
        return (await response.json())["choices"][0]["text"]
