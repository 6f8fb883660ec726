"""The scenario ``decision-cost``: processor time of one path choice."""

import time

import attrs

from lentilhaven.balancing.path_chooser import PathChooser
from lentilhaven.bench.figure import Figure, observed
from lentilhaven.bench.plots import plot_lines
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.ids import EndpointId
from lentilhaven.core.randomness import derive_random
from lentilhaven.pipelines.path_loads import PathLoads, PathRequest
from lentilhaven.testbed.deployments import find_deployment

#: Pool sizes, in endpoints.
REPLICA_COUNTS = (40, 400, 3700)

#: Number of timed choices when no size is given.
DEFAULT_CHOICES = 3000

#: Number of endpoints of a deployment at scale 1.
BASE_ENDPOINTS = 40


def run_decision_cost(options: ScenarioOptions) -> Report:
    """
    Measure the processor time of choices, load reports and plans on this machine.

    Parameters
    ----------
    options : ScenarioOptions
        Seed, deployment and number of choices.
    """
    figures: dict[str, Figure] = {}
    costs = []
    for size in REPLICA_COUNTS:
        chooser = make_chooser(options, size)
        costs.append(time_choices(chooser, options))
        figures[f"choice.{size}"] = observed(costs[-1], "us")
        figures[f"reports.{size}"] = observed(time_reports(chooser), "us")
        figures[f"plan.{size}"] = observed(time_plan(chooser), "us")
    slope = (costs[-1] - costs[0]) / (REPLICA_COUNTS[-1] - REPLICA_COUNTS[0])
    figures["slope"] = observed(slope, "us per replica")
    sizes = [float(size) for size in REPLICA_COUNTS]
    plot_lines(options.plot, {"choice": (sizes, costs)}, "replicas", "us")
    return Report("decision-cost", options.seed, figures)


def make_chooser(options: ScenarioOptions, size: int) -> PathChooser:
    """Return a path chooser with a plan for a pool of the given size."""
    pool = find_deployment(options.deployment, -(-size // BASE_ENDPOINTS)).pool
    pool = attrs.evolve(pool, endpoints=pool.endpoints[:size])
    # 9 routers share the endpoints.
    chooser = PathChooser(loads=PathLoads(9))
    chooser.plan(pool, None, (), 0.0)
    return chooser


def time_choices(chooser: PathChooser, options: ScenarioOptions) -> float:
    """Return the mean microseconds of processor time to get the plan and choose."""
    count = options.size or DEFAULT_CHOICES
    rng, request = derive_random(options.seed, "choices"), PathRequest(200.0)
    pool = chooser.pool
    if pool is None:
        raise RuntimeError("the chooser has no plan")
    began = time.process_time()
    for _ in range(count):
        plan = chooser.plan(pool, None, (), 0.0)
        chooser.choose(plan, request, rng)
    return (time.process_time() - began) / count * 1e6


def time_reports(chooser: PathChooser) -> float:
    """
    Return the processor time to adopt a load report per endpoint and get the plan.

    The time is in microseconds.
    """
    pool = chooser.pool
    if pool is None:
        raise RuntimeError("the chooser has no plan")
    # Each endpoint reports 5 requests, and 9 routers share the endpoints.
    reported = {EndpointId(it.id): 5.0 for it in pool.endpoints}
    began = time.process_time()
    chooser.adopt_reports(reported, 9)
    chooser.plan(pool, None, (), 0.0)
    return (time.process_time() - began) * 1e6


def time_plan(chooser: PathChooser) -> float:
    """Return the processor time to compute a plan, in microseconds."""
    pool = chooser.pool
    if pool is None:
        raise RuntimeError("the chooser has no plan")
    chooser.plans.clear()
    began = time.process_time()
    chooser.plan(pool, None, (), 0.0)
    return (time.process_time() - began) * 1e6
