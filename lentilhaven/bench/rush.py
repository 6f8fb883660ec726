"""The scenario ``rush``: load rises to twice the throughput bound and falls again."""

from lentilhaven.bench.figure import at_least, at_most, observed
from lentilhaven.bench.plots import plot_lines
from lentilhaven.bench.policy import PolicyRun, RunPlan, open_run
from lentilhaven.bench.policy.measures import (
    first_token_p95,
    quantile_or_zero,
    token_rate_series,
)
from lentilhaven.bench.policy.request_record import RequestRecord
from lentilhaven.bench.policy.run_plan import (
    BETWEEN_TOKENS_TARGET,
    FIRST_TOKEN_TARGET,
)
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions

#: Length of the run when no size is given, in seconds of virtual time.
DEFAULT_SECONDS = 60

#: Load before and after the peak, and at the peak, as fractions of the throughput
#: bound.
NORMAL_LOAD, PEAK_LOAD = 0.3, 2.0

#: Length of one goodput window, in seconds.
WINDOW = 2.0

#: Length of one window of the time to the first token, and distance between the
#: starts of two windows, in seconds.
RECOVERY_WINDOW, RECOVERY_STEP = 2.0, 0.5

#: Number of consecutive normal windows, 3 s, after which the system has recovered.
NORMAL_WINDOWS = 6

#: A time to the first token is normal if it is at most this multiple of the largest
#: one before the peak.
NORMAL_FACTOR = 1.05


def run_rush(options: ScenarioOptions) -> Report:
    """
    Measure goodput, refusals and recovery during a load peak.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and deployment; the size is the seconds of virtual time.  The
        baseline, first-come admission, runs only without a size.
    """
    seconds = float(options.size or DEFAULT_SECONDS)
    run = run_load_peak(options, "deadline", seconds)
    goodput = token_rate_series(run, is_good, seconds, WINDOW)
    times = [index * WINDOW for index in range(len(goodput))]
    lines = {"deadline": (times, goodput)}
    figures = {
        "goodput-floor": at_least(goodput_floor(goodput, seconds), 0.9, "of peak"),
        "goodput-peak": observed(max(goodput) / run.bound, "of bound"),
        "refusal-time.max": at_most(refusal_time(run), 0.05, "s"),
        "recovery-time": at_most(recovery_time(run, seconds), 5.0, "s"),
        "admitted-first-token.p95": observed(
            first_token_p95(run.records, 0.0, seconds), "s"
        ),
        "refused-late": at_most(count_late_refusals(run), 0, "requests"),
    }
    if not options.size:
        first_come = run_load_peak(options, "first-come", seconds)
        baseline_goodput = token_rate_series(first_come, is_good, seconds, WINDOW)
        lines["first-come"] = (times, baseline_goodput)
        figures["goodput-floor.first-come"] = observed(
            goodput_floor(baseline_goodput, seconds), "of peak"
        )
        recovered = recovery_time(first_come, seconds)
        figures["recovery-time.first-come"] = observed(recovered, "s")
    plot_lines(options.plot, lines, "time (s)", "goodput (tokens/s)")
    return Report("rush", options.seed, figures)


def run_load_peak(
    options: ScenarioOptions, admission: str, seconds: float
) -> PolicyRun:
    """Run the whole load profile and return the run."""
    run = open_run(RunPlan(options.seed, options.deployment, admission=admission))

    def load(now: float) -> float:
        return run.bound * load_profile(now / seconds)

    run.schedule_workload(load, PEAK_LOAD * run.bound, seconds)
    run.run(seconds)
    return run


def load_profile(fraction: float) -> float:
    """
    Return the load at a fraction of the run, as a fraction of the bound.

    Examples
    --------
    >>> load_profile(0.0), load_profile(0.45), load_profile(0.9)
    (0.3, 2.0, 0.3)
    """
    if fraction < 0.2 or fraction >= 0.7:
        return NORMAL_LOAD
    if fraction < 0.4:
        return NORMAL_LOAD + (PEAK_LOAD - NORMAL_LOAD) * (fraction - 0.2) / 0.2
    if fraction < 0.5:
        return PEAK_LOAD
    return PEAK_LOAD - (PEAK_LOAD - NORMAL_LOAD) * (fraction - 0.5) / 0.2


def is_good(record: RequestRecord) -> bool:
    """Return whether an answer met both latency targets."""
    return record.meets_targets(FIRST_TOKEN_TARGET, BETWEEN_TOKENS_TARGET)


def goodput_floor(goodput: list[float], seconds: float) -> float:
    """Return the minimum goodput under overload, relative to the maximum goodput."""
    # Answers that complete in this window arrived a few seconds earlier.
    begin, end = round(0.36 * seconds / WINDOW), round(0.58 * seconds / WINDOW)
    return min(goodput[begin:end]) / max(goodput)


def refusal_time(run: PolicyRun) -> float:
    """Return the longest time from sending a request to its refusal, in seconds."""
    round_trip = 2 * run.deployment.client_latency
    times = [it.refused - it.arrived for it in run.records if it.refused is not None]
    return max(times, default=0.0) + round_trip


def count_late_refusals(run: PolicyRun) -> int:
    """Return the number of requests that were queued before they were refused."""
    return sum(it.refused is not None and it.refused > it.arrived for it in run.records)


def recovery_time(run: PolicyRun, seconds: float) -> float:
    """
    Return the seconds from the end of the peak to normal times to first token.

    Return infinity if the times do not become normal for `NORMAL_WINDOWS` windows.

    Parameters
    ----------
    run : PolicyRun
        Run of the whole load profile.
    seconds : float
        Length of the run in seconds.
    """
    normal = max(first_tokens(run, 0.04 * seconds, 0.2 * seconds).values())
    ended = 0.7 * seconds
    after = first_tokens(run, ended, seconds)
    normal_count = 0
    for time, wait in after.items():
        normal_count = normal_count + 1 if wait <= NORMAL_FACTOR * normal else 0
        if normal_count == NORMAL_WINDOWS:
            return time - (NORMAL_WINDOWS - 1) * RECOVERY_STEP - ended
    return float("inf")


def first_tokens(run: PolicyRun, begin: float, end: float) -> dict[float, float]:
    """Return 95th percentiles of the seconds to first token, by start of the window."""
    steps = max(1, int((end - begin - RECOVERY_WINDOW) / RECOVERY_STEP) + 1)
    times = [begin + index * RECOVERY_STEP for index in range(steps)]
    return {it: window_quantile(run, it, it + RECOVERY_WINDOW) for it in times}


def window_quantile(run: PolicyRun, begin: float, end: float) -> float:
    """
    Return the 95th percentile of seconds to first token for arrivals in a window.

    Refused requests are left out; a missing first token counts as infinite.
    """
    waits = [
        it.time_to_first_token
        for it in run.records
        if begin <= it.arrived < end and it.refused is None
    ]
    return quantile_or_zero(waits)
