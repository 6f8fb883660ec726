"""Tables that a testbed applies when it starts."""

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
    Return tables with a pool of engines, a pool of services and one workspace.

    Parameters
    ----------
    plan : TestbedPlan
        Supplies the model's name and number of layers.
    engines, services : list of EndpointSpec
        Endpoints of the two pools.
    """
    engine_pool = Pool(
        PoolName("llm"),
        PoolKind.ENGINE,
        list(engines),
        model=plan.model,
        layer_count=plan.layer_count,
    )
    service_pool = Pool(PoolName("stock"), PoolKind.SERVICE, list(services))
    workspace = Workspace(WorkspaceId("depot"), [token_hash(WORKSPACE_TOKEN)])
    return Tables(
        routes=[
            Route(RouteName("chat"), engine_pool.name),
            Route(RouteName("stock"), service_pool.name),
        ],
        pools=[engine_pool, service_pool],
        workspaces=[workspace],
    )
