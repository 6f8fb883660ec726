"""The command ``status``."""

from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
from lentilhaven.cli.connection import Connection, run_command
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json, print_table
from lentilhaven.cli.system_status import SystemStatus, gather_status


def status(*, common: CommonParameter = DEFAULT_OPTIONS) -> int:
    """
    Print the state of every VM and pool, and the problems found.

    The exit code is 4 if the agent or the router of a VM did not answer.
    """

    async def run(connection: Connection) -> int:
        system_status = await gather_status(connection)
        if common.json:
            print_json(system_status.document())
        else:
            print_status(system_status)
        unreachable = any(vm["errors"] for vm in system_status.vms)
        return ExitCode.PARTIAL if unreachable else ExitCode.OK

    return run_command(common, run)


def print_status(status: SystemStatus) -> None:
    """Print the status as text."""
    print(f"tables: version {status.version if status.version >= 0 else '?'}\n")
    headers = ["VM", "DATA CENTRE", "AGENT", "ROUTER", "IN FLIGHT", "STATE"]
    print_table(headers, [vm_row(vm) for vm in status.vms])
    print()
    headers = ["POOL", "BOUND TOKENS/S", "RUNNING", "WAITING", "OWN LOAD", "ENDPOINTS"]
    print_table(headers, [pool_row(pool) for pool in status.pools])
    print()
    for finding in status.findings:
        print(f"! {finding}")
    if not status.findings:
        print("nothing stands out")


def vm_row(vm: dict) -> list[object]:
    """Return the table row of a VM."""
    states = ["ready" if vm["ready"] else "not ready"]
    states += ["leaving"] if vm["leaving"] else []
    states += [f"suspected by {vm['suspected_by']}"] if vm["suspected_by"] else []
    return [
        vm["vm"],
        vm["data_centre"],
        or_unknown(vm["agent_tables"]),
        or_unknown(vm["router_tables"]),
        or_unknown(vm["in_flight"]),
        ", ".join(states),
    ]


def pool_row(pool: dict) -> list[object]:
    """Return the table row of a pool."""
    states = ", ".join(f"{count} {name}" for name, count in pool["endpoints"].items())
    bound = "-" if pool["bound"] is None else f"{pool['bound']:.0f}"
    load = [pool["running"], pool["waiting"], pool["own_load"]]
    return [pool["name"], bound, *load, states]


def or_unknown(value: object) -> object:
    """Return a value, or a question mark for None."""
    return "?" if value is None else value
