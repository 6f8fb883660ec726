"""The scenario ``tables-cost``: tables of 20,000 workspaces, in real time."""

import time
from collections.abc import Callable

from lentilhaven.bench.figure import at_least, at_most, observed
from lentilhaven.bench.fleet_observer import WORKSPACES, make_fleet_tables
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.hashing import canonical_json
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.distribution.table_holder import TableHolder
from lentilhaven.router.authentication import WorkspaceIndex
from lentilhaven.standins.object_api import MAX_VALUE_BYTES
from lentilhaven.tables.parts import split_tables

#: Endpoints and data centres at full size.
REPLICAS, PLACES = 3_700, 10

#: Look-ups that are timed.
LOOKUPS = 2_000


def run_tables_cost(options: ScenarioOptions) -> Report:
    """
    Measure the size of the parts and the time of adoption and look-up.

    Parameters
    ----------
    options : ScenarioOptions
        Only the seed's name is used.
    """
    places = [f"dc-{index}" for index in range(PLACES)]
    tables = make_fleet_tables("http://10.0.0.1:8000", REPLICAS, places)
    parts = split_tables(tables)
    sizes = [len(canonical_json(part).encode()) for part in parts.values()]
    holder = TableHolder()
    head = TableHead(1, "edit", "bench", list(parts))
    adoption = seconds_of(lambda: holder.adopt(head, parts))
    index = WorkspaceIndex()
    indexing = seconds_of(lambda: index.follow(holder.tables))
    headers = [f"Bearer {number * 7 % WORKSPACES}" for number in range(LOOKUPS)]
    found: list[bool] = []
    lookups = seconds_of(
        lambda: found.extend(
            index.authenticate(holder.tables, it).is_ok() for it in headers
        )
    )
    figures = {
        "largest_part": at_most(max(sizes), MAX_VALUE_BYTES, "B"),
        "mean_part": observed(sum(sizes) / len(sizes), "B"),
        "parts": observed(len(parts), "parts"),
        "all_parts": observed(sum(sizes), "B"),
        "found": at_least(sum(found), LOOKUPS, "workspaces"),
        "first_adoption": observed(adoption, "s"),
        "indexing": observed(indexing, "s"),
        "lookup": observed(lookups / LOOKUPS, "s"),
    }
    return Report("tables-cost", options.seed, figures)


def seconds_of(work: Callable[[], object]) -> float:
    """Return the seconds of processor time that some work takes."""
    began = time.process_time()
    work()
    return time.process_time() - began
