"""The scenarios by name."""

from collections.abc import Callable

from lentilhaven.bench.idempotency import run_idempotency
from lentilhaven.bench.integrity import run_integrity
from lentilhaven.bench.journal_model import run_journal_model
from lentilhaven.bench.journal_random import run_journal_random
from lentilhaven.bench.orders_random import run_orders_random
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.smoke import run_smoke

Scenario = Callable[[ScenarioOptions], Report]

SCENARIOS: dict[str, Scenario] = {
    "integrity": run_integrity,
    "idempotency": run_idempotency,
    "journal-model": run_journal_model,
    "journal-random": run_journal_random,
    "orders-random": run_orders_random,
    "smoke": run_smoke,
}
