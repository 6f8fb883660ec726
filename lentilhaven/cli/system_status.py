"""Collects the status of all VMs and pools."""

from typing import Any

import attrs

from lentilhaven.cli.connection import Connection
from lentilhaven.core.converter import to_document
from lentilhaven.distribution.editing import read_current_tables
from lentilhaven.objects.vm import ListedVm
from lentilhaven.pipelines.bound import deployment_bounds


@attrs.frozen
class SystemStatus:
    """
    The state of the whole system.

    Attributes
    ----------
    version : int
        Version of the tables in the store; -1 if the store does not answer.
    vms : list of dict
        One entry for each VM.
    pools : list of dict
        One entry for each pool.
    findings : list of str
        Problems that an operator should look at.
    """

    version: int
    vms: list[dict[str, Any]]
    pools: list[dict[str, Any]]
    findings: list[str]

    def document(self) -> dict[str, Any]:
        """Return the status as a JSON document."""
        return {"format": 1} | to_document(self)


async def gather_status(connection: Connection) -> SystemStatus:
    """
    Query the store and every VM.

    Parameters
    ----------
    connection : Connection
        Connections to the store and the VMs.
    """
    vms = await connection.list_vms()
    agents = await connection.request_all(vms, "agent", "/status")
    routers = await connection.request_all(vms, "router", "/status")
    current = await read_current_tables(connection.store)
    version, bounds = -1, {}
    if current.is_ok():
        head, tables = current.ok
        version = head.version
        bounds = {key: it.rate for key, it in deployment_bounds(tables).items()}
    suspicions = count_suspicions(agents)
    rows = [describe_vm(vm, agents[vm.id], routers[vm.id], suspicions) for vm in vms]
    router_statuses = [it.ok for it in routers.values() if it.is_ok()]
    pools = merge_pools(router_statuses, bounds)
    return SystemStatus(version, rows, pools, find_problems(version, rows, pools))


def count_suspicions(agents: dict) -> dict[str, int]:
    """Return the number of agents that suspect each VM."""
    counts: dict[str, int] = {}
    for answer in agents.values():
        if answer.is_ok():
            for vm in answer.ok["vms"]:
                counts[vm["vm"]] = counts.get(vm["vm"], 0) + vm["suspected"]
    return counts


def describe_vm(vm: ListedVm, agent, router, suspicions: dict) -> dict[str, Any]:
    """
    Return the status of a VM.

    Parameters
    ----------
    vm : ListedVm
        Entry of the platform's list.
    agent, router : Result
        Response to ``/status`` of the VM's agent and of its router, or a failure.
    suspicions : dict
        Number of agents that suspect a VM, by VM.
    """
    agent_status = agent.ok if agent.is_ok() else {}
    router_status = router.ok if router.is_ok() else {}
    return {
        "vm": vm.id,
        "data_centre": vm.data_centre,
        "agent_tables": agent_status.get("tables_version"),
        "router_tables": router_status.get("tables_version"),
        "in_flight": router_status.get("in_flight"),
        "ready": bool(agent_status.get("ready")) and bool(router_status.get("ready")),
        "leaving": vm.state.value == "leaving"
        or bool(agent_status.get("leaving"))
        or bool(router_status.get("leaving")),
        "suspected_by": suspicions.get(vm.id, 0),
        "violations": agent_status.get("violations", 0)
        + router_status.get("violations", 0),
        "errors": [str(it.error) for it in (agent, router) if it.is_error()],
    }


def merge_pools(routers: list[dict], bounds: dict[str, float]) -> list[dict[str, Any]]:
    """
    Return the pools of the router with the newest tables, with own load and bound.

    Parameters
    ----------
    routers : list of dict
        Responses of the routers to ``/status``.  The ``own_load`` of a pool is the
        number of the router's own requests in flight, counted at each endpoint; it
        is summed over all routers.
    bounds : dict
        Maximum rate by pool, in tokens per second.
    """
    if not routers:
        return []
    newest = max(routers, key=lambda it: it["tables_version"])
    own_loads: dict[str, int] = {}
    for router in routers:
        for pool in router["pools"]:
            own_loads[pool["name"]] = own_loads.get(pool["name"], 0) + pool["own_load"]
    return [
        pool | {"own_load": own_loads[pool["name"]], "bound": bounds.get(pool["name"])}
        for pool in newest["pools"]
    ]


def find_problems(version: int, vms: list[dict], pools: list[dict]) -> list[str]:
    """Return the problems that an operator should look at."""
    problems = [] if version >= 0 else ["the platform's store does not answer"]
    for vm in vms:
        problems += vm["errors"]
        versions = [vm["agent_tables"], vm["router_tables"]]
        outdated = [it for it in versions if it is not None and it < version]
        if outdated:
            problems.append(
                f"{vm['vm']}: has tables {min(outdated)}, newest is {version}"
            )
        if vm["suspected_by"]:
            problems.append(f"{vm['vm']}: suspected by {vm['suspected_by']} agents")
        if vm["violations"]:
            problems.append(
                f"{vm['vm']}: {vm['violations']} broken invariants; dump it"
            )
    for pool in pools:
        problems += find_pool_problems(pool)
    return problems


def find_pool_problems(pool: dict[str, Any]) -> list[str]:
    """
    Return the problems of a pool.

    Examples
    --------
    >>> find_pool_problems({"name": "llm", "endpoints": {"live": 1, "suspect": 2},
    ...     "waiting": 40, "running": 8, "bound": 0.0})[0]
    'pool llm: 2 of 3 endpoints suspect'
    """
    label, problems = f"pool {pool['name']}", []
    total = sum(pool["endpoints"].values())
    for state, count in pool["endpoints"].items():
        if state != "live" and count:
            problems.append(f"{label}: {count} of {total} endpoints {state}")
    if pool.get("not_live"):
        problems.append(f"{label}: not live: {', '.join(pool['not_live'])}")
    if not pool["endpoints"].get("live"):
        problems.append(f"{label}: no endpoint is live")
    if pool["waiting"] > pool["running"]:
        detail = f"{pool['waiting']} requests wait for {pool['running']} in work"
        problems.append(f"{label}: overloaded: {detail}; see 'explain bound'")
    if pool["bound"] == 0:
        problems.append(f"{label}: no chain covers all layers; see 'explain bound'")
    return problems
