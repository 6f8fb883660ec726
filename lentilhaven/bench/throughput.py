"""The scenario ``throughput``: load that a pool carries, relative to its bound."""

from lentilhaven.bench.figure import Figure, at_least, observed
from lentilhaven.bench.plots import plot_lines
from lentilhaven.bench.policy import PolicyRun, RunPlan, open_run
from lentilhaven.bench.policy.measures import (
    first_token_p95,
    refused_share,
    token_gap_p95,
    token_rate,
)
from lentilhaven.bench.policy.run_plan import (
    BETWEEN_TOKENS_TARGET,
    FIRST_TOKEN_TARGET,
)
from lentilhaven.bench.policy.workload import constant_load
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions

#: Length of one run when no size is given, in seconds of virtual time.
DEFAULT_SECONDS = 20

#: Initial fraction of a run that is excluded from the figures, because the system is
#: not in steady state yet.
WARM_UP_FRACTION = 0.4

#: Offered load at saturation, as a fraction of the throughput bound.
SATURATING_LOAD = 1.3

#: Target time between tokens at saturation, where only throughput is measured, in
#: seconds.
RELAXED_TOKEN_GAP = 0.3

#: Number of bisection steps towards the highest load.
BISECTIONS = 5

#: Maximum fraction of requests refused at a load that counts as carried.
MAX_REFUSED_SHARE = 0.01

POLICIES = ("flow", "round-robin", "least-loaded", "random-of-two")


def run_throughput(options: ScenarioOptions) -> Report:
    """
    Measure the throughput at saturation and the highest load within the targets.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and deployment; the size is the seconds of virtual time of one run.
        The baselines, all policies but ``flow``, run only without a size.
    """
    seconds = float(options.size or DEFAULT_SECONDS)
    figures: dict[str, Figure] = {}
    loads: list[float] = []
    policies = POLICIES[:1] if options.size else POLICIES
    for policy in policies:
        share = share_at_saturation(options, policy, seconds)
        name = f"share-of-bound.{policy}"
        figures[name] = (
            at_least(share, 0.95, "ratio")
            if policy == "flow"
            else observed(share, "ratio")
        )
        highest = highest_load(options, policy, seconds)
        figures[f"highest-load-in-time.{policy}"] = observed(highest, "of bound")
        loads.append(highest)
    bound = open_run(RunPlan(options.seed, options.deployment)).bound
    figures["bound"] = observed(bound, "tokens/s")
    positions = [float(index) for index in range(len(policies))]
    label = ", ".join(policies)
    plot_lines(options.plot, {label: (positions, loads)}, "policy", "load / bound")
    return Report("throughput", options.seed, figures)


def share_at_saturation(options: ScenarioOptions, policy: str, seconds: float) -> float:
    """Return the fraction of the throughput bound that a policy reaches in overload."""
    plan = RunPlan(
        options.seed, options.deployment, policy, token_gap_target=RELAXED_TOKEN_GAP
    )
    run = run_at_load(plan, SATURATING_LOAD, seconds)
    return token_rate(run, WARM_UP_FRACTION * seconds, seconds) / run.bound


def highest_load(options: ScenarioOptions, policy: str, seconds: float) -> float:
    """Return the highest load that meets all targets, as a fraction of the bound."""
    low, high = 0.0, 1.0
    for _ in range(BISECTIONS):
        load = (low + high) / 2
        run = run_at_load(
            RunPlan(options.seed, options.deployment, policy), load, seconds
        )
        if meets_targets(run, WARM_UP_FRACTION * seconds, seconds):
            low = load
        else:
            high = load
    return low


def run_at_load(plan: RunPlan, load: float, seconds: float) -> PolicyRun:
    """Run a plan at a constant load, a fraction of the bound, and return the run."""
    run = open_run(plan)
    run.schedule_workload(constant_load(load * run.bound), load * run.bound, seconds)
    run.run(seconds)
    return run


def meets_targets(run: PolicyRun, begin: float, end: float) -> bool:
    """Return whether a window meets both latency targets and the refusal limit."""
    return (
        first_token_p95(run.records, begin, end) <= FIRST_TOKEN_TARGET
        and token_gap_p95(run, begin, end) <= BETWEEN_TOKENS_TARGET
        and refused_share(run, begin, end) <= MAX_REFUSED_SHARE
    )
