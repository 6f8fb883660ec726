"""The scenarios by name."""

from collections.abc import Callable

from lentilhaven.bench.config_spread import run_config_spread
from lentilhaven.bench.failover import run_failover
from lentilhaven.bench.integrity import run_integrity
from lentilhaven.bench.leaving import run_leaving
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.smoke import run_smoke

Scenario = Callable[[ScenarioOptions], Report]

SCENARIOS: dict[str, Scenario] = {
    "config-spread": run_config_spread,
    "failover": run_failover,
    "integrity": run_integrity,
    "leaving": run_leaving,
    "smoke": run_smoke,
}
