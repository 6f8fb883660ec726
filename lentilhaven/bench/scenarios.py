"""The scenarios by name."""

from collections.abc import Callable

from lentilhaven.bench.fuzz import run_fuzz
from lentilhaven.bench.integrity import run_integrity
from lentilhaven.bench.journal_model import run_journal_model
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.smoke import run_smoke

Scenario = Callable[[ScenarioOptions], Report]

SCENARIOS: dict[str, Scenario] = {
    "integrity": run_integrity,
    "journal-model": run_journal_model,
    "fuzz": run_fuzz,
    "smoke": run_smoke,
}
