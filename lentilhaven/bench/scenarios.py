"""The scenarios by name."""

from collections.abc import Callable

from lentilhaven.bench.decision_cost import run_decision_cost
from lentilhaven.bench.fairness import run_fairness
from lentilhaven.bench.faults import run_faults
from lentilhaven.bench.herding import run_herding
from lentilhaven.bench.report import Report
from lentilhaven.bench.rush import run_rush
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.smoke import run_smoke
from lentilhaven.bench.throughput import run_throughput

Scenario = Callable[[ScenarioOptions], Report]

SCENARIOS: dict[str, Scenario] = {
    "decision-cost": run_decision_cost,
    "fairness": run_fairness,
    "faults": run_faults,
    "herding": run_herding,
    "rush": run_rush,
    "smoke": run_smoke,
    "throughput": run_throughput,
}
