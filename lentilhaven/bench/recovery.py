"""
The scenario ``recovery``: time from the death of a stage to the next token.

Beside the router stand the naive way, in which a caller asks again from the
start, and the physical limit, in which the lost range alone is rebuilt at the
moment of the death.  All three run on the same engines.
"""

import random

import attrs

from lentilhaven.bench.figure import Figure, at_most, observed
from lentilhaven.bench.quantiles import quantile
from lentilhaven.bench.recovery_trial import (
    DeathWatch,
    RecoveryTrial,
    chain_in_use,
    completion_body,
    draw_trial,
    expected_text,
    run_limit,
    run_naive,
    run_product,
)
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.randomness import derive_random
from lentilhaven.standins.virtual import run_virtual
from lentilhaven.tables.route import RetryRule
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.caller import CallerAnswer, ask

#: Trials of each kind when no size is given.
DEFAULT_SIZE = 100

#: Largest allowed multiple of the physical limit.
LIMIT_FACTOR = 1.5

#: Longest allowed time to detect a death, in seconds.
DETECTION = 0.2

#: Seconds between two trials, after which every circuit lets a trial pass again.
PAUSE = 5.0

#: Kinds of trial: name, whether silent, stages at once, deaths of replacements.
KINDS = [
    ("crash", False, 1, 0),
    ("power-loss", True, 1, 0),
    ("two-crash", False, 2, 0),
    ("two-power-losses", True, 2, 0),
    ("replacement-dies-too", True, 1, 1),
]


def run_recovery(options: ScenarioOptions) -> Report:
    """
    Measure recovery.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and number of trials of each kind.
    """
    figures = run_virtual(measure_recovery(options))
    return Report("recovery", options.seed, figures)


async def measure_recovery(options: ScenarioOptions) -> dict[str, Figure]:
    """Return the figures of all kinds."""
    figures: dict[str, Figure] = {}
    for name, silent, count, again in KINDS:
        source = derive_random(options.seed, name)
        plan = TestbedPlan(seed=options.seed, replica_count=3)
        async with open_testbed(plan) as testbed:
            trials = [
                draw_trial(testbed, source, silent, count, again)
                for _ in range(options.size or DEFAULT_SIZE)
            ]
            figures |= await measure_kind(testbed, name, trials)
        # A testbed must be closed before the next may use its addresses.
        figures |= spread(f"{name}-naive", await measure_naive(plan, trials))
    figures |= await measure_no_replacement(options)
    return figures


async def measure_kind(
    testbed: Testbed, name: str, trials: list[RecoveryTrial]
) -> dict[str, Figure]:
    """Return the figures of one kind of death."""
    waits, incomplete = [], 0
    for trial in trials:
        watch = await run_product(testbed, trial)
        incomplete += watch is None
        waits += watch.waits if watch is not None else []
        await testbed.clock.sleep(PAUSE)
    limits = []
    for number, trial in enumerate(trials):
        limits.append(await run_limit(testbed, trial, f"{name}-{number}"))
        await testbed.clock.sleep(PAUSE)
    bound = LIMIT_FACTOR * quantile(limits, 0.95) + DETECTION
    figures = {f"{name}-incomplete": at_most(incomplete, 0, "answers")}
    figures |= spread(f"{name}-recovery", waits)
    figures[f"{name}-recovery-p95"] = at_most(quantile(waits, 0.95), bound, "s")
    return figures | spread(f"{name}-limit", limits)


async def measure_naive(plan: TestbedPlan, trials: list[RecoveryTrial]) -> list[float]:
    """Return the waits of a caller whose router does not recover."""
    waits = []
    async with open_testbed(plan) as testbed:
        tables = testbed.vms[0].router.view.tables
        never = RetryRule(max_attempts=1)
        routes = [attrs.evolve(route, retry=never) for route in tables.routes]
        version = await testbed.apply(attrs.evolve(tables, routes=routes), "naive")
        await testbed.wait_in_force(version)
        for trial in trials:
            waits += (await run_naive(testbed, trial)).waits
            await testbed.clock.sleep(PAUSE)
    return waits


def spread(name: str, waits: list[float]) -> dict[str, Figure]:
    """Return the quantiles of some waits."""
    return {
        f"{name}-p50": observed(quantile(waits, 0.5), "s"),
        f"{name}-p95": observed(quantile(waits, 0.95), "s"),
        f"{name}-max": observed(max(waits), "s"),
    }


async def measure_no_replacement(options: ScenarioOptions) -> dict[str, Figure]:
    """Return how answers end when nothing holds the lost range any more."""
    source = derive_random(options.seed, "no-replacement")
    waits, unexplained = [], 0
    plan = TestbedPlan(seed=options.seed, replica_count=1)
    async with open_testbed(plan) as testbed:
        for number in range(options.size or DEFAULT_SIZE):
            silent = number % 2 == 1
            wait = await lose_last_replica(testbed, source, silent)
            unexplained += wait is None
            waits += [wait] if wait is not None else []
            await testbed.clock.sleep(PAUSE)
    deadline = testbed.vms[0].router.view.tables.routes[0].deadline
    return {
        "no-replacement-unexplained": at_most(unexplained, 0, "answers"),
        "no-replacement-error-max": at_most(max(waits), deadline, "s"),
        "no-replacement-error-p50": observed(quantile(waits, 0.5), "s"),
    }


async def lose_last_replica(
    testbed: Testbed, source: random.Random, silent: bool
) -> float | None:
    """Return the seconds to a clear error; None if there was none."""
    trial = draw_trial(testbed, source, silent)
    watch = DeathWatch(testbed, trial)
    died = 0.0

    async def on_token(answer: CallerAnswer) -> None:
        nonlocal died
        if len(answer.tokens) == trial.position:
            died = testbed.clock.monotonic()
            name = chain_in_use(testbed)[trial.indices[0]]
            watch.strike([name])

    body = completion_body(testbed, trial)
    url = testbed.vms[0].url
    answer = await ask(testbed.session, url, testbed.headers, body, on_token=on_token)
    waited = testbed.clock.monotonic() - died
    watch.revive()
    explained = answer.error is not None and "position" in answer.error["detail"]
    prefix = expected_text(testbed, trial).startswith(answer.text)
    return waited if explained and prefix else None
