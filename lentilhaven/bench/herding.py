"""The scenario ``herding``: evenness of engine load under many routers."""

import math

from lentilhaven.bench.figure import Figure, observed
from lentilhaven.bench.plots import plot_lines
from lentilhaven.bench.policy import PolicyRun, RunPlan, open_run
from lentilhaven.bench.policy.workload import constant_load
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions

#: Length of one run when no size is given, in seconds of virtual time.
DEFAULT_SECONDS = 12

#: Initial fraction of a run that is excluded from the figures.
WARM_UP_FRACTION = 0.4

#: Offered load, as a fraction of the throughput bound.
OFFERED_LOAD = 0.5

#: Numbers of routers that are compared.
ROUTER_COUNTS = (9, 100)

#: Seconds between two samples of the engines' load.
SAMPLE_PERIOD = 0.1

POLICIES = ("omniscient", "flow", "random-of-two", "least-loaded")


def run_herding(options: ScenarioOptions) -> Report:
    """
    Compare the spread of load over engines with that of an omniscient policy.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and deployment; the size is the seconds of virtual time of one run.
    """
    seconds = float(options.size or DEFAULT_SECONDS)
    figures: dict[str, Figure] = {}
    lines = {}
    for count in ROUTER_COUNTS:
        spreads = [mean_spread(options, it, count, seconds) for it in POLICIES]
        for policy, spread in zip(POLICIES, spreads, strict=True):
            figures[f"spread.{policy}.{count}"] = observed(spread, "of mean")
        ratio = spreads[1] / spreads[0]
        figures[f"flow-to-omniscient.{count}"] = observed(ratio, "ratio")
        positions = [float(index) for index in range(len(POLICIES))]
        lines[f"{count} routers: {', '.join(POLICIES)}"] = (positions, spreads)
    plot_lines(options.plot, lines, "policy", "spread / mean")
    return Report("herding", options.seed, figures)


def mean_spread(
    options: ScenarioOptions, policy: str, routers: int, seconds: float
) -> float:
    """
    Run a policy with load reports that are 1 to 2 seconds old.

    Return the mean of `relative_spread` over samples after the warm-up.
    """
    # The limit of each router is fixed and high: an outdated limit would restrict the
    # load long before the engines do.
    plan = RunPlan(
        options.seed,
        options.deployment,
        policy,
        router_count=routers,
        fixed_limit=1000.0,
        report_period=1.0,
        report_delay=1.0,
    )
    run = open_run(plan)
    load = OFFERED_LOAD * run.bound
    run.schedule_workload(constant_load(load), load, seconds)
    samples: list[float] = []

    def sample() -> None:
        if run.events.now >= WARM_UP_FRACTION * seconds:
            samples.append(relative_spread(run))
        run.events.schedule_after(SAMPLE_PERIOD, sample)

    sample()
    run.run(seconds)
    return sum(samples) / len(samples)


def relative_spread(run: PolicyRun) -> float:
    """
    Return the spread of load over the engines, relative to their mean load.

    The spread is the root mean square deviation of the engines' numbers of streams
    from the planned shares; it is 0 without load.

    Parameters
    ----------
    run : PolicyRun
        Run whose first router has a plan.
    """
    members = run.routers[0].plan().all_members()
    loads = {it.endpoint: run.cluster.stream_counts[it.endpoint] for it in members}
    total, rate = sum(loads.values()), sum(it.rate for it in members)
    if total == 0:
        return 0.0
    errors = [(loads[it.endpoint] - total * it.rate / rate) ** 2 for it in members]
    return math.sqrt(sum(errors) / len(errors)) / (total / len(members))
