"""The scenario ``herding``: how evenly many routers fill the engines."""

import math

from lentilhaven.bench.figure import Figure, observed
from lentilhaven.bench.plots import plot_lines
from lentilhaven.bench.policy import PolicyRun, RunPlan, open_run
from lentilhaven.bench.policy.workload import constant
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions

#: Seconds of virtual time of one run when no size is given.
DEFAULT_SECONDS = 12

#: Part of a run after which it counts.
WARM_UP = 0.4

#: Offered load, as a part of the bound.
LOAD = 0.5

#: Numbers of routers.
ROUTER_COUNTS = (9, 100)

#: Seconds between two looks at the engines.
SAMPLE_PERIOD = 0.1

POLICIES = ("omniscient", "flow", "random-of-two", "least-loaded")


def run_herding(options: ScenarioOptions) -> Report:
    """
    Measure the spread of load over engines, beside a chooser that sees all.

    Parameters
    ----------
    options : ScenarioOptions
        Seed, deployment and seconds of virtual time.
    """
    seconds = float(options.size or DEFAULT_SECONDS)
    figures: dict[str, Figure] = {}
    lines = {}
    for count in ROUTER_COUNTS:
        spreads = [spread_of(options, it, count, seconds) for it in POLICIES]
        for policy, spread in zip(POLICIES, spreads, strict=True):
            figures[f"spread.{policy}.{count}"] = observed(spread, "of mean")
        ratio = spreads[1] / spreads[0]
        figures[f"flow-to-omniscient.{count}"] = observed(ratio, "ratio")
        places = [float(index) for index in range(len(POLICIES))]
        lines[f"{count} routers: {', '.join(POLICIES)}"] = (places, spreads)
    plot_lines(options.plot, lines, "policy", "spread / mean")
    return Report("herding", options.seed, figures)


def spread_of(
    options: ScenarioOptions, policy: str, routers: int, seconds: float
) -> float:
    """Return the mean spread of a run with reports that are a second old."""
    # An old limit per router would bind long before the engines do.
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
    load = LOAD * run.bound
    run.offer(constant(load), load, seconds)
    samples: list[float] = []

    def sample() -> None:
        if run.events.now >= WARM_UP * seconds:
            samples.append(relative_spread(run))
        run.events.after(SAMPLE_PERIOD, sample)

    sample()
    run.run(seconds)
    return sum(samples) / len(samples)


def relative_spread(run: PolicyRun) -> float:
    """
    Return the spread of load around the planned shares, as a part of the mean.

    Parameters
    ----------
    run : PolicyRun
        A run whose first router has a plan.
    """
    members = run.routers[0].plan().all_members()
    loads = {it.endpoint: run.cluster.assigned[it.endpoint] for it in members}
    total, rate = sum(loads.values()), sum(it.rate for it in members)
    if total == 0:
        return 0.0
    errors = [(loads[it.endpoint] - total * it.rate / rate) ** 2 for it in members]
    return math.sqrt(sum(errors) / len(errors)) / (total / len(members))
