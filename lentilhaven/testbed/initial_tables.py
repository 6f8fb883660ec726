"""The tables with which a testbed begins."""

from lentilhaven.core.hashing import token_hash
from lentilhaven.core.ids import PoolName, RouteName, WorkspaceId
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.workspace import Workspace
from lentilhaven.testbed.testbed_plan import TestbedPlan
from lentilhaven.testbed.tokens import WORKSPACE_TOKEN


def make_tables(
    plan: TestbedPlan, engines: list[EndpointSpec], services: list[EndpointSpec]
) -> Tables:
    """
    Return tables that name some engines and services.

    Parameters
    ----------
    plan : TestbedPlan
        Names the model.
    engines, services : list of EndpointSpec
        The endpoints.
    """
    pool = Pool(
        PoolName("llm"),
        PoolKind.ENGINE,
        list(engines),
        model=plan.model,
        layer_count=plan.layer_count,
    )
    stock = Pool(PoolName("stock"), PoolKind.SERVICE, list(services))
    workspace = Workspace(WorkspaceId("depot"), [token_hash(WORKSPACE_TOKEN)])
    return Tables(
        routes=[
            Route(RouteName("chat"), pool.name),
            Route(RouteName("stock"), stock.name),
        ],
        pools=[pool, stock],
        workspaces=[workspace],
    )
