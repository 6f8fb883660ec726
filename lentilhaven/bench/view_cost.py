"""
The scenario ``view-cost``: time and bytes of view updates, by fleet size.

It runs in real time, since it measures the time of computations: its figures differ
between machines and between runs.
"""

import json
import time

import attrs

from lentilhaven.agent.view_feed import ViewFeed
from lentilhaven.bench.figure import Figure, at_most, observed
from lentilhaven.bench.report import Report
from lentilhaven.bench.scenario_options import ScenarioOptions
from lentilhaven.control.view import EndpointState, EndpointView, View
from lentilhaven.control.view_update import ViewUpdate
from lentilhaven.core.converter import CONVERTER, to_document
from lentilhaven.core.ids import (
    DataCentre,
    EndpointId,
    ModelName,
    ModelVersion,
    PoolName,
    RouteName,
    WorkspaceId,
)
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.distribution.table_holder import TableHolder
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.router.view_holder import ViewHolder
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.layer_range import LayerRange
from lentilhaven.tables.parts import split_tables
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.workspace import Workspace

#: Numbers of endpoints and workspaces: the current size, a tenth of the full size, and
#: the full size, which is expected in two years.
SIZES = ((40, 10), (370, 2_000), (3_700, 20_000))

#: Share of the endpoints whose load report changes in one update.
CHANGED_SHARE = 0.1

#: Edits of the tables per day at full size, as expected in two years.
EDITS_PER_DAY = 4_800

#: Seconds per day.
DAY = 86_400.0

#: Maximum fraction of a core that the agent of a VM may use.
CONTROL_SHARE = 0.034


@attrs.define
class ViewPair:
    """
    An agent and a router in one process, between which view updates are sent.

    Attributes
    ----------
    tables : TableHolder
        Tables of the agent.
    feed : ViewFeed
        Feed of view updates from the agent.
    holder : ViewHolder
        View that the router holds.
    endpoints : dict
        The agent's view of each endpoint, by endpoint.
    sequence : int
        Sequence number of the newest view.
    """

    tables: TableHolder = attrs.field(factory=TableHolder)
    feed: ViewFeed = attrs.field(factory=lambda: ViewFeed(run=1))
    holder: ViewHolder = attrs.field(factory=ViewHolder)
    endpoints: dict[EndpointId, EndpointView] = attrs.field(factory=dict)
    sequence: int = 0

    def send(self) -> tuple[float, float, int]:
        """
        Send an update of the view from the agent to the router.

        Return the seconds taken by the agent and by the router, and the size of the
        update in bytes.
        """
        self.sequence += 1
        view = View(self.sequence, self.tables.tables, self.endpoints)
        # -1 tells the agent that the router holds no tables.
        held = self.holder.tables.head.version or -1
        began = time.perf_counter()
        update = self.feed.update(
            view, self.tables, self.holder.run, self.holder.sequence, held
        )
        text = json.dumps(to_document(update))
        sent = time.perf_counter()
        received = CONVERTER.structure(json.loads(text), ViewUpdate)
        self.holder.adopt(received, 0.0)
        return sent - began, time.perf_counter() - sent, len(text)


def run_view_cost(options: ScenarioOptions) -> Report:
    """
    Measure full views, load updates and edits at several sizes.

    Parameters
    ----------
    options : ScenarioOptions
        Only the seed is used, to label the report.
    """
    figures: dict[str, Figure] = {}
    for endpoint_count, workspace_count in SIZES:
        figures |= measure_size(endpoint_count, workspace_count)
    return Report("view-cost", options.seed, figures)


def measure_size(endpoint_count: int, workspace_count: int) -> dict[str, Figure]:
    """Measure updates at one fleet size and return the figures."""
    pair = ViewPair()
    pair.endpoints = make_reports(endpoint_count, 1)
    adopt_tables(pair, make_tables(endpoint_count, workspace_count, 1.0), 1)
    whole = pair.send()
    change_reports(pair, endpoint_count)
    load = pair.send()
    edit_seconds = adopt_tables(
        pair, make_tables(endpoint_count, workspace_count, 2.0), 2
    )
    edit = pair.send()
    edits = (edit_seconds + edit[0]) * EDITS_PER_DAY / DAY
    name = f"{endpoint_count}-endpoints-"
    return {
        name + "whole-bytes": observed(whole[2], "B"),
        name + "whole-router": observed(whole[1] * 1e3, "ms"),
        name + "load-bytes": observed(load[2], "B"),
        name + "load-agent": observed(load[0] * 1e3, "ms"),
        name + "load-router": observed(load[1] * 1e3, "ms"),
        name + "edit-bytes": observed(edit[2], "B"),
        name + "edit-agent": observed((edit_seconds + edit[0]) * 1e3, "ms"),
        name + "edit-router": observed(edit[1] * 1e3, "ms"),
        name + "edits-share-of-core": at_most(edits, CONTROL_SHARE, "core"),
    }


def make_tables(endpoint_count: int, workspace_count: int, weight: float) -> Tables:
    """Return tables of a given size; the first workspace has the given weight."""
    specs = [
        EndpointSpec(
            EndpointId(f"engine-{index:05d}"),
            f"http://10.{index // 65536}.{index // 256 % 256}.{index % 256}:8000",
            DataCentre("mty-a"),
            LayerRange(0, 80),
            ModelVersion("v1"),
        )
        for index in range(endpoint_count)
    ]
    workspaces = [
        Workspace(
            WorkspaceId(f"workspace-{index}"),
            [f"sha256:{index:064x}"],
            weight=weight if index == 0 else 1.0,
        )
        for index in range(workspace_count)
    ]
    name = PoolName("llm")
    pool = Pool(name, PoolKind.ENGINE, specs, ModelName("m"), 80)
    return Tables([Route(RouteName("chat"), name)], [pool], workspaces)


def adopt_tables(pair: ViewPair, tables: Tables, version: int) -> float:
    """Adopt tables at the agent and return the seconds taken."""
    parts = split_tables(tables)
    head = TableHead(version, f"edit-{version}", "bench", list(parts))
    began = time.perf_counter()
    pair.tables.adopt(head, parts)
    return time.perf_counter() - began


def make_reports(count: int, running: int) -> dict[EndpointId, EndpointView]:
    """Return a view of each endpoint, with `running` requests in its load report."""
    return {
        EndpointId(f"engine-{index:05d}"): make_view(index, running)
        for index in range(count)
    }


def make_view(index: int, running: int) -> EndpointView:
    """Return a view of one endpoint, with `running` requests in its load report."""
    name = EndpointId(f"engine-{index:05d}")
    report = LoadReport(name, running, 0, 1e6, 2e6, ModelVersion("v1"))
    return EndpointView(EndpointState.LIVE, report, 0.5)


def change_reports(pair: ViewPair, count: int) -> None:
    """Replace the load reports of `CHANGED_SHARE` of the endpoints."""
    changed = make_reports(max(1, round(count * CHANGED_SHARE)), 2)
    pair.endpoints = pair.endpoints | changed
