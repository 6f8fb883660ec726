"""The program ``lentilhaven-bench``."""

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated

import cyclopts

from lentilhaven.bench.fleet_observer import observe_fleet
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.scenarios import SCENARIOS
from lentilhaven.core.converter import to_document
from lentilhaven.core.logs import configure_logs

app = cyclopts.App(name="lentilhaven-bench", help="Measured scenarios.")


@app.command(name="list")
def list_scenarios() -> int:
    """Print the names of the scenarios."""
    print("\n".join(SCENARIOS))
    return 0


@app.command
def run(
    scenario: str,
    *,
    seed: int = 1,
    size: int = 0,
    deployment: str = "monterrey",
    json_file: Annotated[str, cyclopts.Parameter(name="--json")] = "",
    plot: str = "",
    inputs: str = "",
    log_level: str = "critical",
) -> int:
    """
    Run one scenario; exit with 1 if a figure misses its target.

    Parameters
    ----------
    scenario
        Its name.
    seed
        Seed of every random source.
    size
        Number of trials; 0 takes the scenario's own.
    deployment
        Shape of the deployment: monterrey or muscat.
    json_file
        File for the report.
    plot
        File for a plot.
    inputs
        Folder of measurements made before, for control-cost.
    log_level
        Least severe level to log.
    """
    if scenario not in SCENARIOS:
        print(f"unknown scenario {scenario!r}; see 'list'", file=sys.stderr)
        return 2
    configure_logs(log_level)
    options = ScenarioOptions(seed, size, deployment, plot, inputs)
    report = SCENARIOS[scenario](options)
    if json_file:
        text = json.dumps(to_document(report), indent=2, sort_keys=True)
        Path(json_file).write_text(text + "\n", encoding="utf-8")
    print_report(report)
    return 0 if report.holds else 1


@app.command
def soak(
    *,
    seed: int = 1,
    minutes: float = 5.0,
    log_level: str = "critical",
) -> int:
    """
    Run gateways under random faults; exit with 1 if a promise is broken.

    Parameters
    ----------
    seed
        Seed of the faults and of what callers ask.
    minutes
        Time after which no round of faults begins.
    log_level
        Least severe level to log.
    """
    configure_logs(log_level)
    report = SCENARIOS["soak"](ScenarioOptions(seed, minutes=minutes))
    print_report(report)
    return 0 if report.holds else 1


@app.command(name="observe-fleet")
def observe(
    folder: Path,
    *,
    store: str,
    reports: str,
    replicas: int,
    edits_per_minute: float,
    seconds: float,
    json_file: Annotated[str, cyclopts.Parameter(name="--json")],
) -> None:
    """
    Measure a fleet of agents that scripts/control-fleet has started.

    Parameters
    ----------
    folder
        The script's folder.
    store
        Address of the store's stand-in.
    reports
        Address of the endpoints' stand-in.
    replicas
        Number of endpoints.
    edits_per_minute
        Edits during the measurement.
    seconds
        Length of the measurement.
    json_file
        File for the result.
    """
    configure_logs("critical")
    cost = asyncio.run(
        observe_fleet(folder, store, reports, replicas, edits_per_minute, seconds)
    )
    text = json.dumps(to_document(cost), indent=2, sort_keys=True)
    Path(json_file).write_text(text + "\n", encoding="utf-8")
    print(text)


def print_report(report: Report) -> None:
    """Print one line a figure."""
    for name, figure in report.figures.items():
        verdict = "holds" if figure.holds else "MISSED"
        target = f"(target {figure.target}: {verdict})" if figure.target else ""
        print(f"{report.scenario} {name} = {figure.value:.6g} {figure.unit} {target}")


def main() -> None:
    """Run the program."""
    sys.exit(app())


if __name__ == "__main__":
    main()
