"""Gathers what every VM says of itself and of the others."""

from typing import Any

import attrs

from lentilhaven.cli.connection import Connection
from lentilhaven.core.converter import to_document
from lentilhaven.distribution.editing import read_current
from lentilhaven.objects.vm import ListedVm
from lentilhaven.pipelines.bound import deployment_bounds


@attrs.frozen
class SystemStatus:
    """
    The state of the whole system.

    Attributes
    ----------
    version : int
        Version of the tables that the store has; -1 if it does not answer.
    vms : list of dict
        One entry for each VM.
    pools : list of dict
        One entry for each pool.
    findings : list of str
        What an operator should look at, in plain words.
    """

    version: int
    vms: list[dict[str, Any]]
    pools: list[dict[str, Any]]
    findings: list[str]

    def document(self) -> dict[str, Any]:
        """Return the status for programs."""
        return {"format": 1} | to_document(self)


async def gather_status(connection: Connection) -> SystemStatus:
    """
    Ask the store and every VM.

    Parameters
    ----------
    connection : Connection
        Connections.
    """
    vms = await connection.list_vms()
    agents = await connection.ask_all(vms, "agent", "/status")
    routers = await connection.ask_all(vms, "router", "/status")
    current = await read_current(connection.store)
    version, bounds = -1, {}
    if current.is_ok():
        head, tables = current.ok
        version = head.version
        bounds = {key: it.rate for key, it in deployment_bounds(tables).items()}
    suspects = count_suspicions(agents)
    rows = [describe_vm(vm, agents[vm.id], routers[vm.id], suspects) for vm in vms]
    answers = [it.ok for it in routers.values() if it.is_ok()]
    pools = join_pools(answers, bounds)
    return SystemStatus(version, rows, pools, find_problems(version, rows, pools))


def count_suspicions(agents: dict) -> dict[str, int]:
    """Return the number of agents that suspect each VM."""
    counts: dict[str, int] = {}
    for answer in agents.values():
        if answer.is_ok():
            for vm in answer.ok["vms"]:
                counts[vm["vm"]] = counts.get(vm["vm"], 0) + vm["suspected"]
    return counts


def describe_vm(vm: ListedVm, agent, router, suspects: dict) -> dict[str, Any]:
    """Return the entry of one VM."""
    told = agent.ok if agent.is_ok() else {}
    routed = router.ok if router.is_ok() else {}
    return {
        "vm": vm.id,
        "data_centre": vm.data_centre,
        "agent_tables": told.get("tables_version"),
        "router_tables": routed.get("tables_version"),
        "in_flight": routed.get("in_flight"),
        "ready": bool(told.get("ready")) and bool(routed.get("ready")),
        "leaving": vm.state.value == "leaving"
        or bool(told.get("leaving"))
        or bool(routed.get("leaving")),
        "suspected_by": suspects.get(vm.id, 0),
        "violations": told.get("violations", 0) + routed.get("violations", 0),
        "errors": [str(it.error) for it in (agent, router) if it.is_error()],
    }


def join_pools(routers: list[dict], bounds: dict[str, float]) -> list[dict[str, Any]]:
    """Return the pools as the newest router sees them, with the load of all."""
    if not routers:
        return []
    newest = max(routers, key=lambda it: it["tables_version"])
    own: dict[str, int] = {}
    for router in routers:
        for pool in router["pools"]:
            own[pool["name"]] = own.get(pool["name"], 0) + pool["own_load"]
    return [
        pool | {"own_load": own[pool["name"]], "bound": bounds.get(pool["name"])}
        for pool in newest["pools"]
    ]


def find_problems(version: int, vms: list[dict], pools: list[dict]) -> list[str]:
    """Return what an operator should look at."""
    found = [] if version >= 0 else ["the platform's store does not answer"]
    for vm in vms:
        found += vm["errors"]
        held = [vm["agent_tables"], vm["router_tables"]]
        behind = [it for it in held if it is not None and it < version]
        if behind:
            found.append(f"{vm['vm']}: has tables {min(behind)}, newest is {version}")
        if vm["suspected_by"]:
            found.append(f"{vm['vm']}: suspected by {vm['suspected_by']} agents")
        if vm["violations"]:
            found.append(f"{vm['vm']}: {vm['violations']} broken invariants; dump it")
    for pool in pools:
        found += find_pool_problems(pool)
    return found


def find_pool_problems(pool: dict[str, Any]) -> list[str]:
    """
    Return what is wrong with a pool.

    Examples
    --------
    >>> find_pool_problems({"name": "llm", "endpoints": {"live": 1, "suspect": 2},
    ...     "waiting": 40, "running": 8, "bound": 0.0})[0]
    'pool llm: 2 of 3 endpoints suspect'
    """
    name, found = f"pool {pool['name']}", []
    total = sum(pool["endpoints"].values())
    for state, count in pool["endpoints"].items():
        if state != "live" and count:
            found.append(f"{name}: {count} of {total} endpoints {state}")
    if pool.get("not_live"):
        found.append(f"{name}: not live: {', '.join(pool['not_live'])}")
    if not pool["endpoints"].get("live"):
        found.append(f"{name}: no endpoint is live")
    if pool["waiting"] > pool["running"]:
        detail = f"{pool['waiting']} requests wait for {pool['running']} in work"
        found.append(f"{name}: overloaded: {detail}; see 'explain bound'")
    if pool["bound"] == 0:
        found.append(f"{name}: no chain covers all layers; see 'explain bound'")
    return found
