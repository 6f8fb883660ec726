"""The scenario ``queue-loads``: overloads with a waiting queue and with polling."""

from collections.abc import Callable, Iterable
from pathlib import Path

import attrs

from lentilhaven.bench.figure import Figure, at_least, observed
from lentilhaven.bench.plots import plot_lines
from lentilhaven.bench.policy import PolicyRun, RunPlan, open_run
from lentilhaven.bench.policy.request_record import RequestRecord
from lentilhaven.bench.policy.router_model import RouterModel
from lentilhaven.bench.queue_loads.caller import Caller
from lentilhaven.bench.queue_loads.load_router import LoadRouter
from lentilhaven.bench.queue_loads.loads import (
    BEGIN,
    FLOODER,
    LOADS,
    SECONDS,
    Arrivals,
    QueueLoad,
)
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.ids import RequestId
from lentilhaven.core.randomness import derive_random

#: Maximum number of streams in flight.  At 160 of the pool of monterrey, 95 of 100
#: times between tokens are below 42 ms.
STREAMS = 160.0

#: Seconds to the first token within which an attempt is in time, by priority.
TARGETS = (0.5, 0.6, 1.2)

#: Seconds after which a caller leaves.
PATIENCE = 6.0

#: Span of the overload and of its recovery, in seconds.
OVERLOAD = (BEGIN, BEGIN + 8.0)


def run_queue_loads(options: ScenarioOptions) -> Report:
    """
    Compare the served shares of a waiting queue with those of polling.

    A refused caller returns, and is in time if the first token of the last attempt is;
    the figures "at-first" count from the first attempt instead.

    Parameters
    ----------
    options : ScenarioOptions
        Seed and deployment.  For the plot's file name, one file per load is written.
    """
    figures: dict[str, Figure] = {}
    for name, make_load in LOADS.items():
        lines: dict[str, tuple[list[float], list[float]]] = {}
        for mode in ("queue", "polling"):
            callers = play(options, make_load(), mode == "polling")
            figures |= served_figures(callers, f"{name}.{mode}")
            lines |= served_lines(callers, mode, name == "flood")
        plot_lines(
            plot_file(options.plot, name), lines, "time / s", "in time / offered"
        )
    return Report("queue-loads", options.seed, figures)


def plot_file(file: str, name: str) -> str:
    """
    Return the file name of a load's plot.

    Examples
    --------
    >>> plot_file("out/loads.svg", "flood"), plot_file("", "flood")
    ('out/loads-flood.svg', '')
    """
    path = Path(file)
    return str(path.with_stem(f"{path.stem}-{name}")) if file else ""


def play(options: ScenarioOptions, load: QueueLoad, polls: bool) -> list[Caller]:
    """Run a load, and return all callers."""
    plan = RunPlan(
        options.seed, options.deployment, router_count=1, fixed_limit=STREAMS
    )
    run = open_run(plan)
    fields = attrs.fields(RouterModel)
    base = {it.name: getattr(run.routers[0], it.name) for it in fields}
    router = LoadRouter(**base, polls=polls)
    run.routers[0] = router
    for index, arrivals in enumerate(load.arrivals):
        schedule(run, router, arrivals, str(index))
    for time, share in load.limits.items():
        run.events.schedule_at(time, set_limit(router, share * STREAMS))
    run.run(SECONDS + PATIENCE)
    return list(router.callers.values())


def set_limit(router: LoadRouter, limit: float) -> Callable[[], None]:
    """Return an event that changes the number of streams in flight."""

    def change() -> None:
        router.gate.state.limit.limit = limit
        if not router.polls:
            router.dispatch()

    return change


def schedule(run: PolicyRun, router: LoadRouter, arrivals: Arrivals, name: str) -> None:
    """Schedule the callers of Poisson arrivals."""
    rng = derive_random(run.plan.seed, "callers", name)
    mix, now, number = run.plan.mix, arrivals.begin, 0
    while (now := now + rng.expovariate(arrivals.rate)) < arrivals.end:
        number += 1
        prompt = round(mix.prompt_tokens * rng.uniform(1 / 3, 5 / 3))
        length = round(mix.generated_tokens * rng.uniform(1 / 3, 5 / 3))
        record = RequestRecord(
            RequestId(f"{name}.{number}"),
            rng.choice(arrivals.workspaces),
            now,
            prompt,
            length,
        )
        target = TARGETS[arrivals.priority]
        caller = Caller(record, arrivals.priority, target, now, now + PATIENCE)
        run.events.schedule_at(now, call_event(router, caller))


def call_event(router: LoadRouter, caller: Caller) -> Callable[[], None]:
    """Return the event of a caller's first attempt."""
    return lambda: router.call(caller)


def served_share(callers: Iterable[Caller]) -> float:
    """Return the share of callers that were served in time; 1 without a caller."""
    outcomes = [it.in_time for it in callers]
    return sum(outcomes) / len(outcomes) if outcomes else 1.0


def served_figures(callers: list[Caller], name: str) -> dict[str, Figure]:
    """Return the shares of the callers that came during an overload."""
    begin, end = OVERLOAD
    during = [it for it in callers if begin <= it.came < end]
    figures = {}
    for priority in range(len(TARGETS)):
        group = [it for it in during if it.priority == priority]
        at_first = sum(it.in_time_at_first for it in group) / max(1, len(group))
        key = f"{name}.priority-{priority}"
        figures[key] = observed(served_share(group), "of offered")
        figures[f"{key}.at-first"] = observed(at_first, "of offered")
    shares = workspace_shares(during)
    for workspace, share in shares.items():
        figures[f"{name}.{workspace}"] = observed(share, "of offered")
    others = [it for workspace, it in shares.items() if workspace != FLOODER]
    ratio = min(others) / max(max(others), 1e-9)
    # Of a priority, each workspace is served at least half as often as the others.
    polls = name.endswith(".polling")
    figure = observed(ratio, "ratio") if polls else at_least(ratio, 0.5, "ratio")
    figures[f"{name}.least-workspace"] = figure
    return figures


def workspace_shares(callers: list[Caller]) -> dict[str, float]:
    """Return the share that was served in time, by workspace."""
    names = sorted({it.record.workspace for it in callers})
    return {
        name: served_share(it for it in callers if it.record.workspace == name)
        for name in names
    }


def served_lines(
    callers: list[Caller], mode: str, by_workspace: bool
) -> dict[str, tuple[list[float], list[float]]]:
    """Return the shares served in time of each second, by workspace or priority."""
    groups: dict[str, dict[int, list[Caller]]] = {}
    for caller in sorted(callers, key=lambda it: it.came):
        name = f"priority {caller.priority}"
        if by_workspace:
            name = caller.record.workspace
        seconds = groups.setdefault(f"{mode}, {name}", {})
        seconds.setdefault(int(caller.came), []).append(caller)
    return {
        name: (
            [float(second) for second in seconds],
            [served_share(it) for it in seconds.values()],
        )
        for name, seconds in sorted(groups.items())
    }
