"""
The scenario ``fairness``: isolation from a flood, and shares by weight.

A flood is additional load from a single workspace.
"""

from collections.abc import Iterable

from lentilhaven.bench.figure import Figure, at_most, observed
from lentilhaven.bench.plots import plot_lines
from lentilhaven.bench.policy import PolicyRun, RunPlan, open_run
from lentilhaven.bench.policy.measures import jain_index, quantile_or_zero
from lentilhaven.bench.policy.request_record import RequestRecord
from lentilhaven.bench.policy.workload import constant_load
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.ids import WorkspaceId

#: Length of one run when no size is given, in seconds of virtual time.
DEFAULT_SECONDS = 30

#: Minimum length of the run that compares shares, in seconds.  A small workspace is
#: served only a few times a second, too rarely for an accurate share in a short run.
MIN_SHARE_SECONDS = 24.0

#: Initial fraction of a run that is excluded from the figures.
WARM_UP_FRACTION = 0.3

#: Load of all workspaces together, and additional load of the flood, as fractions of
#: the throughput bound.
NORMAL_LOAD, FLOOD_LOAD = 0.4, 1.0

#: Four times the minimum load of each of the ten workspaces in the run that compares
#: shares, where each asks for more than its share; as a fraction of the throughput
#: bound.
GREEDY_LOAD = 0.4

#: Workspaces of the run with many workspaces: number, number of large ones, and
#: weight of a large one.
WORKSPACE_COUNT, LARGE_COUNT, LARGE_WEIGHT = 1000, 20, 20.0

#: Flooding workspace of the run that uses the deployment's workspaces.
FLOODER = WorkspaceId("workspace-10")


def run_fairness(options: ScenarioOptions) -> Report:
    """
    Measure how a flood affects other workspaces, and how shares follow the weights.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and deployment; the size is the seconds of virtual time of one run.
    """
    seconds = float(options.size or DEFAULT_SECONDS)
    figures = flood_figures(options, seconds, {}, FLOODER, "")
    figures |= share_figures(options, max(seconds, MIN_SHARE_SECONDS))
    many_workspaces = {WorkspaceId(f"w{it}"): 1.0 for it in range(WORKSPACE_COUNT)}
    many_workspaces |= {
        WorkspaceId(f"w{it}"): LARGE_WEIGHT for it in range(LARGE_COUNT)
    }
    flooder = WorkspaceId(f"w{WORKSPACE_COUNT - 1}")
    figures |= flood_figures(options, seconds, many_workspaces, flooder, ".1000")
    names = list(figures)
    values = [figures[name].value for name in names]
    positions = [float(index) for index in range(len(names))]
    plot_lines(options.plot, {", ".join(names): (positions, values)}, "figure", "value")
    return Report("fairness", options.seed, figures)


def flood_figures(
    options: ScenarioOptions,
    seconds: float,
    workspaces: dict[WorkspaceId, float],
    flooder: WorkspaceId,
    suffix: str,
) -> dict[str, Figure]:
    """
    Return figures of the effect of a flood on the other workspaces.

    `workspaces` has the weight of each workspace; if it is empty, the workspaces of
    the deployment are used.  `suffix` is appended to the names of the figures.
    """
    baseline = run_flood(options, seconds, workspaces, flooder, flood=0.0)
    flooded = run_flood(options, seconds, workspaces, flooder, flood=FLOOD_LOAD)
    before, after = other_records(baseline, flooder), other_records(flooded, flooder)
    wait_rise = first_token_p95(after) / first_token_p95(before)
    pace_rise = token_gap_p95(after) / token_gap_p95(before)
    refused = sum(it.refused is not None for it in after) / len(after)
    return {
        f"others-first-token-rise{suffix}": at_most(wait_rise, 1.2, "ratio"),
        f"others-pace-rise{suffix}": at_most(pace_rise, 1.2, "ratio"),
        f"others-first-token.p95{suffix}": observed(first_token_p95(after), "s"),
        f"others-refused{suffix}": observed(refused, "ratio"),
    }


def run_flood(
    options: ScenarioOptions,
    seconds: float,
    workspaces: dict[WorkspaceId, float],
    flooder: WorkspaceId,
    flood: float,
) -> PolicyRun:
    """
    Run at normal load with a flood from one workspace; return the run.

    `flood` is the additional load, as a fraction of the bound; 0 for no flood.
    """
    plan = RunPlan(options.seed, options.deployment, workspaces=workspaces)
    run = open_run(plan)
    normal = NORMAL_LOAD * run.bound
    run.schedule_workload(constant_load(normal), normal, seconds)
    if flood:
        extra = flood * run.bound
        run.schedule_workload(
            constant_load(extra), extra, seconds, {flooder: 1.0}, name="flood"
        )
    run.run(seconds)
    return run


def other_records(run: PolicyRun, flooder: WorkspaceId) -> list[RequestRecord]:
    """
    Return the records of all workspaces except the flooder's.

    Requests that arrived during the warm-up or the last tenth of the run are left
    out.
    """
    begin, end = WARM_UP_FRACTION * run.events.now, 0.9 * run.events.now
    return [
        it
        for it in run.records
        if it.workspace != flooder and begin <= it.arrived < end
    ]


def first_token_p95(records: Iterable[RequestRecord]) -> float:
    """Return the 95th percentile of the seconds to the first token."""
    return quantile_or_zero(
        [it.time_to_first_token for it in records if it.refused is None]
    )


def token_gap_p95(records: Iterable[RequestRecord]) -> float:
    """Return the 95th percentile of the responses' mean seconds between tokens."""
    return quantile_or_zero(
        [it.time_per_output_token for it in records if it.finished is not None]
    )


def share_figures(options: ScenarioOptions, seconds: float) -> dict[str, Figure]:
    """
    Return how closely the shares of served tokens follow the weights.

    Every workspace asks for more than its share.
    """
    run = open_run(RunPlan(options.seed, options.deployment))
    weights = run.weights()
    total_weight = sum(weights.values())
    for workspace, weight in weights.items():
        # Each workspace offers twice its share, or the minimum load if its share is
        # small.
        load = max(GREEDY_LOAD / 4, 2 * weight / total_weight) * run.bound
        run.schedule_workload(
            constant_load(load), load, seconds, {workspace: 1.0}, name=workspace
        )
    run.run(seconds)
    served = {workspace: 0.0 for workspace in weights}
    for record in run.records:
        if record.started is not None and record.started >= WARM_UP_FRACTION * seconds:
            served[record.workspace] += record.prompt + record.length
    total = sum(served.values())
    relative_shares = [
        served[it] / total / (weight / total_weight) for it, weight in weights.items()
    ]
    largest_error = max(abs(it - 1.0) for it in relative_shares)
    return {
        "share-error.max": at_most(largest_error, 0.05, "of share"),
        "jain-index": observed(jain_index(relative_shares), "index"),
    }
