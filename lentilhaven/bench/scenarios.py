"""The scenarios by name."""

from collections.abc import Callable

from lentilhaven.bench.fairness import run_fairness
from lentilhaven.bench.faults import run_faults
from lentilhaven.bench.report import Report
from lentilhaven.bench.rush import run_rush
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.smoke import run_smoke
from lentilhaven.bench.throughput import run_throughput

Scenario = Callable[[ScenarioOptions], Report]

SCENARIOS: dict[str, Scenario] = {
    "fairness": run_fairness,
    "faults": run_faults,
    "rush": run_rush,
    "smoke": run_smoke,
    "throughput": run_throughput,
}
