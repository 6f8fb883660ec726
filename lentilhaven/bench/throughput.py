"""The scenario ``throughput``: how near the bound a pool is driven."""

from lentilhaven.bench.figure import Figure, at_least, observed
from lentilhaven.bench.plots import plot_lines
from lentilhaven.bench.policy import PolicyRun, RunPlan, open_run
from lentilhaven.bench.policy.measures import (
    gap_quantile,
    refused_share,
    token_rate,
    wait_quantile,
)
from lentilhaven.bench.policy.run_plan import (
    BETWEEN_TOKENS_TARGET,
    FIRST_TOKEN_TARGET,
)
from lentilhaven.bench.policy.workload import constant
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions

#: Seconds of virtual time of one run when no size is given.
DEFAULT_SECONDS = 20

#: Part of a run after which it counts as steady.
WARM_UP = 0.4

#: Offered load at saturation, as a part of the bound.
SATURATION = 1.3

#: Between tokens at saturation, where only the rate matters, in seconds.
NO_LATENCY_TARGET = 0.3

#: Runs that narrow down the highest load.
BISECTIONS = 5

#: Largest part of requests refused at a load that counts as carried.
REFUSED_LIMIT = 0.01

POLICIES = ("flow", "round-robin", "least-loaded", "random-of-two")


def run_throughput(options: ScenarioOptions) -> Report:
    """
    Measure the share of the bound at saturation and the highest load in time.

    Parameters
    ----------
    options : ScenarioOptions
        Seed, deployment and seconds of virtual time; the baselines run only
        without a size.
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
    places = [float(index) for index in range(len(policies))]
    label = ", ".join(policies)
    plot_lines(options.plot, {label: (places, loads)}, "policy", "load / bound")
    return Report("throughput", options.seed, figures)


def share_at_saturation(options: ScenarioOptions, policy: str, seconds: float) -> float:
    """Return the part of the bound that a policy reaches when overloaded."""
    plan = RunPlan(
        options.seed, options.deployment, policy, between_tokens=NO_LATENCY_TARGET
    )
    run = run_at(plan, SATURATION, seconds)
    return token_rate(run, WARM_UP * seconds, seconds) / run.bound


def highest_load(options: ScenarioOptions, policy: str, seconds: float) -> float:
    """Return the highest load at which both latency targets hold."""
    low, high = 0.0, 1.0
    for _ in range(BISECTIONS):
        load = (low + high) / 2
        run = run_at(RunPlan(options.seed, options.deployment, policy), load, seconds)
        if is_in_time(run, WARM_UP * seconds, seconds):
            low = load
        else:
            high = load
    return low


def run_at(plan: RunPlan, load: float, seconds: float) -> PolicyRun:
    """Return a run at a constant load, as a part of the bound."""
    run = open_run(plan)
    run.offer(constant(load * run.bound), load * run.bound, seconds)
    run.run(seconds)
    return run


def is_in_time(run: PolicyRun, begin: float, end: float) -> bool:
    """Return whether a window meets both targets and hardly refuses."""
    return (
        wait_quantile(run.records, begin, end) <= FIRST_TOKEN_TARGET
        and gap_quantile(run, begin, end) <= BETWEEN_TOKENS_TARGET
        and refused_share(run, begin, end) <= REFUSED_LIMIT
    )
