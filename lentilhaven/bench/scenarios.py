"""The scenarios by name."""

from collections.abc import Callable

from lentilhaven.bench.integrity import run_integrity
from lentilhaven.bench.journal_model import run_journal_model
from lentilhaven.bench.recovery import run_recovery
from lentilhaven.bench.report import Report
from lentilhaven.bench.resume import run_resume
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.shutdown import run_shutdown
from lentilhaven.bench.smoke import run_smoke

Scenario = Callable[[ScenarioOptions], Report]

SCENARIOS: dict[str, Scenario] = {
    "integrity": run_integrity,
    "recovery": run_recovery,
    "journal-model": run_journal_model,
    "resume": run_resume,
    "shutdown": run_shutdown,
    "smoke": run_smoke,
}
