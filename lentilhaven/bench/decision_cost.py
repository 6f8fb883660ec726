"""The scenario ``decision-cost``: microseconds a choice of path takes."""

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

#: Numbers of replicas.
SIZES = (40, 400, 3700)

#: Choices timed when no size is given.
DEFAULT_CHOICES = 3000

#: Endpoints in one deployment at scale 1.
BASE = 40


def run_decision_cost(options: ScenarioOptions) -> Report:
    """
    Time choices, reports and plans in processor time of this machine.

    Parameters
    ----------
    options : ScenarioOptions
        Seed, deployment and number of choices.
    """
    figures: dict[str, Figure] = {}
    costs = []
    for size in SIZES:
        chooser = make_chooser(options, size)
        costs.append(time_choices(chooser, options))
        figures[f"choice.{size}"] = observed(costs[-1], "us")
        figures[f"reports.{size}"] = observed(time_reports(chooser), "us")
        figures[f"plan.{size}"] = observed(time_plan(chooser), "us")
    slope = (costs[-1] - costs[0]) / (SIZES[-1] - SIZES[0])
    figures["slope"] = observed(slope, "us per replica")
    sizes = [float(size) for size in SIZES]
    plot_lines(options.plot, {"choice": (sizes, costs)}, "replicas", "us")
    return Report("decision-cost", options.seed, figures)


def make_chooser(options: ScenarioOptions, size: int) -> PathChooser:
    """Return a chooser for a pool of some replicas, with a plan."""
    pool = find_deployment(options.deployment, -(-size // BASE)).pool
    pool = attrs.evolve(pool, endpoints=pool.endpoints[:size])
    chooser = PathChooser(loads=PathLoads(9))
    chooser.plan(pool, None, (), 0.0)
    return chooser


def time_choices(chooser: PathChooser, options: ScenarioOptions) -> float:
    """Return the microseconds of processor time that one choice takes."""
    count = options.size or DEFAULT_CHOICES
    source, size = derive_random(options.seed, "choices"), PathRequest(200.0)
    pool = chooser.pool
    if pool is None:
        raise RuntimeError("the chooser has no plan")
    began = time.process_time()
    for _ in range(count):
        plan = chooser.plan(pool, None, (), 0.0)
        chooser.choose(plan, size, source)
    return (time.process_time() - began) / count * 1e6


def time_reports(chooser: PathChooser) -> float:
    """Return the microseconds that taking in all load reports takes."""
    pool = chooser.pool
    if pool is None:
        raise RuntimeError("the chooser has no plan")
    reported = {EndpointId(it.id): 5.0 for it in pool.endpoints}
    began = time.process_time()
    chooser.adopt_reports(reported, 9)
    chooser.plan(pool, None, (), 0.0)
    return (time.process_time() - began) * 1e6


def time_plan(chooser: PathChooser) -> float:
    """Return the microseconds that making a plan takes."""
    pool = chooser.pool
    if pool is None:
        raise RuntimeError("the chooser has no plan")
    chooser.plans.clear()
    began = time.process_time()
    chooser.plan(pool, None, (), 0.0)
    return (time.process_time() - began) * 1e6
