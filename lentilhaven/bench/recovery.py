"""
The scenario ``recovery``: time from the failure of a stage to the next token.

The router is compared with a naive baseline, in which the caller asks again from
the start, and with the physical limit, in which only the lost layer range is rebuilt,
at the moment of the failure.  All three run on the same engines.
"""

import random

import attrs

from lentilhaven.bench.figure import Figure, at_most, observed
from lentilhaven.bench.quantiles import quantile
from lentilhaven.bench.recovery_trial import (
    RecoveryTimer,
    RecoveryTrial,
    chain_in_use,
    completion_body,
    draw_trial,
    expected_text,
    run_limit,
    run_naive,
    run_with_router,
)
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.randomness import derive_random
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables.route import RetryRule
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.caller import CompletionResult, request_completion

#: Number of trials of each kind when no size is given.
DEFAULT_SIZE = 100

#: Factor by which the recovery may take longer than the physical limit, not including
#: the detection of the failure.
LIMIT_FACTOR = 1.5

#: Maximum time to detect a failure, which is added to the target, in seconds.
MAX_DETECTION_TIME = 0.2

#: Seconds between two trials, after which every circuit breaker admits a trial
#: request again.
TRIAL_PAUSE = 5.0

#: Kinds of trial: name, whether connections stay open, number of stages that fail
#: at once, and number of replacements that fail in turn.
KINDS = [
    ("crash", False, 1, 0),
    ("power-loss", True, 1, 0),
    ("two-crash", False, 2, 0),
    ("two-power-losses", True, 2, 0),
    ("replacement-dies-too", True, 1, 1),
]


def run_recovery(options: ScenarioOptions) -> Report:
    """
    Measure the recovery time for each kind of failure.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of trials of each kind.
    """
    figures = run_virtual(measure_recovery(options))
    return Report("recovery", options.seed, figures)


async def measure_recovery(options: ScenarioOptions) -> dict[str, Figure]:
    """Run the trials of all kinds and return the figures."""
    figures: dict[str, Figure] = {}
    for name, silent, count, replacement_deaths in KINDS:
        rng = derive_random(options.seed, name)
        plan = TestbedPlan(seed=options.seed, replica_count=3)
        async with open_testbed(plan) as testbed:
            trials = [
                draw_trial(testbed, rng, silent, count, replacement_deaths)
                for _ in range(options.size or DEFAULT_SIZE)
            ]
            figures |= await measure_kind(testbed, name, trials)
        # A testbed must be closed before the next one can use its addresses.
        figures |= quantile_figures(f"{name}-naive", await measure_naive(plan, trials))
    figures |= await measure_no_replacement(options)
    return figures


async def measure_kind(
    testbed: Testbed, name: str, trials: list[RecoveryTrial]
) -> dict[str, Figure]:
    """Run the trials of one kind of failure and return the figures."""
    waits, incomplete = [], 0
    for trial in trials:
        timer = await run_with_router(testbed, trial)
        incomplete += timer is None
        waits += timer.waits if timer is not None else []
        await testbed.clock.sleep(TRIAL_PAUSE)
    limits = []
    for number, trial in enumerate(trials):
        limits.append(await run_limit(testbed, trial, f"{name}-{number}"))
        await testbed.clock.sleep(TRIAL_PAUSE)
    bound = LIMIT_FACTOR * quantile(limits, 0.95) + MAX_DETECTION_TIME
    figures = {f"{name}-incomplete": at_most(incomplete, 0, "answers")}
    figures |= quantile_figures(f"{name}-recovery", waits)
    figures[f"{name}-recovery-p95"] = at_most(quantile(waits, 0.95), bound, "s")
    return figures | quantile_figures(f"{name}-limit", limits)


async def measure_naive(plan: TestbedPlan, trials: list[RecoveryTrial]) -> list[float]:
    """Return the recovery times of a caller whose router does not recover."""
    waits = []
    async with open_testbed(plan) as testbed:
        tables = testbed.vms[0].router.view.tables
        no_retry = RetryRule(max_attempts=1)
        routes = [attrs.evolve(route, retry=no_retry) for route in tables.routes]
        version = await testbed.apply(attrs.evolve(tables, routes=routes), "naive")
        await testbed.wait_until_adopted(version)
        for trial in trials:
            waits += (await run_naive(testbed, trial)).waits
            await testbed.clock.sleep(TRIAL_PAUSE)
    return waits


def quantile_figures(name: str, waits: list[float]) -> dict[str, Figure]:
    """Return quantiles of recovery times as figures."""
    return {
        f"{name}-p50": observed(quantile(waits, 0.5), "s"),
        f"{name}-p95": observed(quantile(waits, 0.95), "s"),
        f"{name}-max": observed(max(waits), "s"),
    }


async def measure_no_replacement(options: ScenarioOptions) -> dict[str, Figure]:
    """Return figures on answers whose lost range no engine holds any more."""
    rng = derive_random(options.seed, "no-replacement")
    waits, unexplained = [], 0
    plan = TestbedPlan(seed=options.seed, replica_count=1)
    async with open_testbed(plan) as testbed:
        for number in range(options.size or DEFAULT_SIZE):
            silent = number % 2 == 1
            wait = await lose_last_replica(testbed, rng, silent)
            unexplained += wait is None
            waits += [wait] if wait is not None else []
            await testbed.clock.sleep(TRIAL_PAUSE)
    deadline = testbed.vms[0].router.view.tables.routes[0].deadline
    return {
        "no-replacement-unexplained": at_most(unexplained, 0, "answers"),
        "no-replacement-error-max": at_most(max(waits), deadline, "s"),
        "no-replacement-error-p50": observed(quantile(waits, 0.5), "s"),
    }


async def lose_last_replica(
    testbed: Testbed, rng: random.Random, silent: bool
) -> float | None:
    """
    Return the seconds from the loss of a layer range to the error that reports it.

    During a completion, the only engine that holds one of the layer ranges crashes
    or, if `silent`, is paused.  Return None if the completion does not end with an
    error whose detail contains the word "position", or if the text received before
    the error is not a prefix of the expected text.
    """
    trial = draw_trial(testbed, rng, silent)
    timer = RecoveryTimer(testbed, trial)
    died_at = 0.0

    async def on_token(answer: CompletionResult) -> None:
        nonlocal died_at
        if len(answer.tokens) == trial.position:
            died_at = testbed.clock.monotonic()
            name = chain_in_use(testbed)[trial.indices[0]]
            timer.kill_engines([name])

    body = completion_body(testbed, trial)
    url = testbed.vms[0].url
    answer = await request_completion(
        testbed.session, url, testbed.headers, body, on_token=on_token
    )
    waited = testbed.clock.monotonic() - died_at
    timer.revive()
    explained = answer.error is not None and "position" in answer.error["detail"]
    prefix = expected_text(testbed, trial).startswith(answer.text)
    return waited if explained and prefix else None
