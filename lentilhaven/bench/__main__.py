"""Command line of ``lentilhaven-bench``."""

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated

import cyclopts

from lentilhaven.bench.fleet_observer import observe_fleet
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.converter import to_document
from lentilhaven.core.logs import configure_logs

#: Packages of the extra "test" that scenarios import.
EXTRA_PACKAGES = frozenset({"async_solipsism", "hypothesis"})

app = cyclopts.App(name="lentilhaven-bench", help="Run benchmark scenarios.")


def load_scenarios() -> dict[str, Callable[[ScenarioOptions], Report]]:
    """
    Return the scenarios by name.

    Raises
    ------
    SystemExit
        If a package of the extra "test" is missing; the text names it.
    """
    try:
        from lentilhaven.bench.scenarios import SCENARIOS
    except ModuleNotFoundError as error:
        if error.name not in EXTRA_PACKAGES:
            raise
        raise SystemExit(
            f"the scenarios need the package {error.name!r}; "
            "install the extra: pip install 'lentilhaven[test]'"
        ) from error
    return SCENARIOS


@app.command(name="list")
def list_scenarios() -> int:
    """Print the names of the scenarios."""
    print("\n".join(load_scenarios()))
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
    older: str = "",
    log_level: str = "critical",
) -> int:
    """
    Run one scenario; exit with status 1 if a figure misses its target.

    Parameters
    ----------
    scenario
        Name of the scenario.
    seed
        Seed of all random number generators.
    size
        Size of the run, in a unit that depends on the scenario, such as trials or
        seconds; 0 selects the scenario's default.
    deployment
        Name of the deployment: monterrey or muscat.
    json_file
        File to which the report is written as JSON.
    plot
        File to which a plot is written.
    inputs
        Folder with earlier measurements, for control-cost.
    older
        Commit of this repository whose gateways are replaced, for upgrade.
    log_level
        Least severe level to log.
    """
    scenarios = load_scenarios()
    if scenario not in scenarios:
        print(
            f"unknown scenario {scenario!r}; 'list' prints all names", file=sys.stderr
        )
        return 2
    configure_logs(log_level)
    options = ScenarioOptions(seed, size, deployment, plot, inputs, older=older)
    report = scenarios[scenario](options)
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
    Run gateways under random faults; exit with status 1 if a check fails.

    Parameters
    ----------
    seed
        Seed of the faults and of the callers' requests.
    minutes
        Minutes after which no new round of faults begins.
    log_level
        Least severe level to log.
    """
    configure_logs(log_level)
    report = load_scenarios()["soak"](ScenarioOptions(seed, minutes=minutes))
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
    Measure the cost of a fleet of agents started by scripts/control-fleet.

    Parameters
    ----------
    folder
        Working folder of the script.
    store
        URL of the store's stand-in.
    reports
        URL of the endpoints' stand-in.
    replicas
        Number of endpoints in the tables.
    edits_per_minute
        Edits of the tables per minute during the measurement.
    seconds
        Length of the measurement in seconds.
    json_file
        File to which the result is written as JSON.
    """
    configure_logs("critical")
    cost = asyncio.run(
        observe_fleet(folder, store, reports, replicas, edits_per_minute, seconds)
    )
    text = json.dumps(to_document(cost), indent=2, sort_keys=True)
    Path(json_file).write_text(text + "\n", encoding="utf-8")
    print(text)


def print_report(report: Report) -> None:
    """Print one line per figure."""
    for name, figure in report.figures.items():
        verdict = "holds" if figure.holds else "MISSED"
        target = f"(target {figure.target}: {verdict})" if figure.target else ""
        print(f"{report.scenario} {name} = {figure.value:.6g} {figure.unit} {target}")


def main() -> None:
    """Run the command line."""
    sys.exit(app())


if __name__ == "__main__":
    main()
