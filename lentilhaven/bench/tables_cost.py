"""The scenario ``tables-cost``: cost of tables with 20,000 workspaces."""

import time
from collections.abc import Callable

from lentilhaven.bench.figure import at_least, at_most, observed
from lentilhaven.bench.fleet_observer import WORKSPACE_COUNT, make_fleet_tables
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.core.hashing import canonical_json
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.distribution.table_holder import TableHolder
from lentilhaven.router.authentication import WorkspaceIndex
from lentilhaven.standins.object_api import MAX_VALUE_BYTES
from lentilhaven.tables.parts import split_tables

#: Number of endpoints and of data centres at full size.
ENDPOINT_COUNT, DATA_CENTRE_COUNT = 3_700, 10

#: Number of timed look-ups.
LOOKUP_COUNT = 2_000


def run_tables_cost(options: ScenarioOptions) -> Report:
    """
    Measure the size of the table parts and the cost of adoption and look-up.

    All times are processor time, so they depend on the machine.

    Parameters
    ----------
    options : ScenarioOptions
        Only the seed is used, to label the report.
    """
    data_centres = [f"dc-{index}" for index in range(DATA_CENTRE_COUNT)]
    tables = make_fleet_tables("http://10.0.0.1:8000", ENDPOINT_COUNT, data_centres)
    parts = split_tables(tables)
    sizes = [len(canonical_json(part).encode()) for part in parts.values()]
    holder = TableHolder()
    head = TableHead(1, "edit", "bench", list(parts))
    adoption = processor_seconds(lambda: holder.adopt(head, parts))
    index = WorkspaceIndex()
    indexing = processor_seconds(lambda: index.refresh(holder.tables))
    headers = [
        f"Bearer {number * 7 % WORKSPACE_COUNT}" for number in range(LOOKUP_COUNT)
    ]
    found: list[bool] = []
    lookups = processor_seconds(
        lambda: found.extend(
            index.authenticate(holder.tables, it).is_ok() for it in headers
        )
    )
    figures = {
        "largest_part": at_most(max(sizes), MAX_VALUE_BYTES, "B"),
        "mean_part": observed(sum(sizes) / len(sizes), "B"),
        "parts": observed(len(parts), "parts"),
        "all_parts": observed(sum(sizes), "B"),
        "found": at_least(sum(found), LOOKUP_COUNT, "workspaces"),
        "first_adoption": observed(adoption, "s"),
        "indexing": observed(indexing, "s"),
        "lookup": observed(lookups / LOOKUP_COUNT, "s"),
    }
    return Report("tables-cost", options.seed, figures)


def processor_seconds(work: Callable[[], object]) -> float:
    """Return the processor time of a call, in seconds."""
    began = time.process_time()
    work()
    return time.process_time() - began
