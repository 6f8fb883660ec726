"""Registry of all scenarios by name."""

from collections.abc import Callable

from lentilhaven.bench.affinity import run_affinity
from lentilhaven.bench.config_spread import run_config_spread
from lentilhaven.bench.control_cost import run_control_cost
from lentilhaven.bench.control_random import run_control_random
from lentilhaven.bench.crowd.crowd_run import run_clients
from lentilhaven.bench.decision_cost import run_decision_cost
from lentilhaven.bench.failover import run_failover
from lentilhaven.bench.failover_journal import run_failover_journal
from lentilhaven.bench.fairness import run_fairness
from lentilhaven.bench.faults import run_faults
from lentilhaven.bench.fuzz import run_fuzz
from lentilhaven.bench.herding import run_herding
from lentilhaven.bench.idempotency import run_idempotency
from lentilhaven.bench.integrity import run_integrity
from lentilhaven.bench.journal_model import run_journal_model
from lentilhaven.bench.journal_random import run_journal_random
from lentilhaven.bench.leaving import run_leaving
from lentilhaven.bench.orders_random import run_orders_random
from lentilhaven.bench.queue_loads.run import run_queue_loads
from lentilhaven.bench.recovery import run_recovery
from lentilhaven.bench.report import Report
from lentilhaven.bench.resume import run_resume
from lentilhaven.bench.router_cost import run_router_cost
from lentilhaven.bench.rush import run_rush
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.bench.shutdown import run_shutdown
from lentilhaven.bench.smoke import run_smoke
from lentilhaven.bench.soak import run_soak
from lentilhaven.bench.stops import run_stops
from lentilhaven.bench.tables_cost import run_tables_cost
from lentilhaven.bench.throughput import run_throughput
from lentilhaven.bench.upgrade import run_upgrade
from lentilhaven.bench.view_cost import run_view_cost

Scenario = Callable[[ScenarioOptions], Report]

SCENARIOS: dict[str, Scenario] = {
    "affinity": run_affinity,
    "clients": run_clients,
    "config-spread": run_config_spread,
    "control-cost": run_control_cost,
    "control-random": run_control_random,
    "decision-cost": run_decision_cost,
    "failover": run_failover,
    "failover-journal": run_failover_journal,
    "fairness": run_fairness,
    "faults": run_faults,
    "herding": run_herding,
    "idempotency": run_idempotency,
    "integrity": run_integrity,
    "journal-model": run_journal_model,
    "resume": run_resume,
    "shutdown": run_shutdown,
    "journal-random": run_journal_random,
    "leaving": run_leaving,
    "orders-random": run_orders_random,
    "queue-loads": run_queue_loads,
    "recovery": run_recovery,
    "router-cost": run_router_cost,
    "rush": run_rush,
    "fuzz": run_fuzz,
    "smoke": run_smoke,
    "soak": run_soak,
    "stops": run_stops,
    "tables-cost": run_tables_cost,
    "throughput": run_throughput,
    "upgrade": run_upgrade,
    "view-cost": run_view_cost,
}
