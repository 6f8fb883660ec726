"""The scenario ``rush``: load rises to twice the bound and falls back."""

from lentilhaven.bench.figure import at_least, at_most, observed
from lentilhaven.bench.plots import plot_lines
from lentilhaven.bench.policy import PolicyRun, RunPlan, open_run
from lentilhaven.bench.policy.answer_record import AnswerRecord
from lentilhaven.bench.policy.measures import quantile_or_zero, series, wait_quantile
from lentilhaven.bench.policy.run_plan import (
    BETWEEN_TOKENS_TARGET,
    FIRST_TOKEN_TARGET,
)
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions

#: Seconds of virtual time when no size is given.
DEFAULT_SECONDS = 60

#: Load before and after, and at the peak, as parts of the bound.
NORMAL, PEAK = 0.3, 2.0

#: Seconds of one value of goodput.
WIDTH = 2.0

#: Seconds of one value of the time to the first token, and between two values.
RECOVERY_WIDTH, RECOVERY_STEP = 2.0, 0.5

#: Windows in a row that have to be normal: 3 s.
CALM_WINDOWS = 6

#: A time to the first token is normal if it is at most this factor above the
#: largest before the rush.
NORMAL_FACTOR = 1.05


def run_rush(options: ScenarioOptions) -> Report:
    """
    Measure goodput, refusal and recovery through a rush.

    Parameters
    ----------
    options : ScenarioOptions
        Seed, deployment and seconds of virtual time; the baseline runs only
        without a size.
    """
    seconds = float(options.size or DEFAULT_SECONDS)
    run = rush(options, "deadline", seconds)
    goodput = series(run, is_good, seconds, WIDTH)
    times = [index * WIDTH for index in range(len(goodput))]
    lines = {"deadline": (times, goodput)}
    figures = {
        "goodput-floor": at_least(floor(goodput, seconds), 0.9, "of peak"),
        "goodput-peak": observed(max(goodput) / run.bound, "of bound"),
        "refusal-time.max": at_most(refusal_time(run), 0.05, "s"),
        "recovery-time": at_most(recovery_time(run, seconds), 5.0, "s"),
        "admitted-first-token.p95": observed(
            wait_quantile(run.records, 0.0, seconds), "s"
        ),
        "refused-late": at_most(count_late_refusals(run), 0, "requests"),
    }
    if not options.size:
        naive = rush(options, "first-come", seconds)
        values = series(naive, is_good, seconds, WIDTH)
        lines["first-come"] = (times, values)
        figures["goodput-floor.first-come"] = observed(
            floor(values, seconds), "of peak"
        )
        recovered = recovery_time(naive, seconds)
        figures["recovery-time.first-come"] = observed(recovered, "s")
    plot_lines(options.plot, lines, "time (s)", "goodput (tokens/s)")
    return Report("rush", options.seed, figures)


def rush(options: ScenarioOptions, admission: str, seconds: float) -> PolicyRun:
    """Return a run through a whole rush."""
    run = open_run(RunPlan(options.seed, options.deployment, admission=admission))

    def load(now: float) -> float:
        return run.bound * shape(now / seconds)

    run.offer(load, PEAK * run.bound, seconds)
    run.run(seconds)
    return run


def shape(part: float) -> float:
    """
    Return the load at a part of the run, as a part of the bound.

    Examples
    --------
    >>> shape(0.0), shape(0.45), shape(0.9)
    (0.3, 2.0, 0.3)
    """
    if part < 0.2 or part >= 0.7:
        return NORMAL
    if part < 0.4:
        return NORMAL + (PEAK - NORMAL) * (part - 0.2) / 0.2
    if part < 0.5:
        return PEAK
    return PEAK - (PEAK - NORMAL) * (part - 0.5) / 0.2


def is_good(record: AnswerRecord) -> bool:
    """Return whether an answer came in time."""
    return record.is_good(FIRST_TOKEN_TARGET, BETWEEN_TOKENS_TARGET)


def floor(goodput: list[float], seconds: float) -> float:
    """Return the least goodput while load is above the bound, over the peak."""
    # Answers that complete in the window were offered a few seconds before it.
    begin, end = round(0.36 * seconds / WIDTH), round(0.58 * seconds / WIDTH)
    return min(goodput[begin:end]) / max(goodput)


def refusal_time(run: PolicyRun) -> float:
    """Return the longest time from sending a refused request to its refusal."""
    both_ways = 2 * run.deployment.client_latency
    times = [it.refused - it.arrived for it in run.records if it.refused is not None]
    return max(times, default=0.0) + both_ways


def count_late_refusals(run: PolicyRun) -> int:
    """Return the number of requests that waited before they were refused."""
    return sum(it.refused is not None and it.refused > it.arrived for it in run.records)


def recovery_time(run: PolicyRun, seconds: float) -> float:
    """
    Return the seconds from the end of the rush to normal first tokens.

    Parameters
    ----------
    run : PolicyRun
        The run.
    seconds : float
        Its length.
    """
    normal = max(first_tokens(run, 0.04 * seconds, 0.2 * seconds).values())
    ended = 0.7 * seconds
    after = first_tokens(run, ended, seconds)
    calm = 0
    for time, wait in after.items():
        calm = calm + 1 if wait <= NORMAL_FACTOR * normal else 0
        if calm == CALM_WINDOWS:
            return time - (CALM_WINDOWS - 1) * RECOVERY_STEP - ended
    return float("inf")


def first_tokens(run: PolicyRun, begin: float, end: float) -> dict[float, float]:
    """Return 95th percentiles of the time to the first token, by arrival."""
    steps = max(1, int((end - begin - RECOVERY_WIDTH) / RECOVERY_STEP) + 1)
    times = [begin + index * RECOVERY_STEP for index in range(steps)]
    return {it: window_quantile(run, it, it + RECOVERY_WIDTH) for it in times}


def window_quantile(run: PolicyRun, begin: float, end: float) -> float:
    """Return the 95th percentile of a window; a late answer has no end."""
    waits = [
        it.wait
        for it in run.records
        if begin <= it.arrived < end and it.refused is None
    ]
    return quantile_or_zero(waits)
