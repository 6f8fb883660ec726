"""Waits until every VM has followed an edit."""

import asyncio
import time

from lentilhaven.cli.connection import Connection
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_table

#: Seconds between two rounds of questions.
ROUND_DELAY = 0.2

PROGRAMS = ("agent", "router")


async def wait_followed(connection: Connection, version: int, timeout: float) -> int:
    """
    Wait until all VMs decide on a version; print each one's, return an exit code.

    Parameters
    ----------
    connection : Connection
        Connections.
    version : int
        Version of the tables.
    timeout : float
        Seconds to wait.
    """
    began = time.monotonic()
    while True:
        held = await read_versions(connection)
        behind = [row for row in held if not row[2].isdigit() or int(row[2]) < version]
        spent = time.monotonic() - began
        if not behind or spent > timeout:
            break
        await asyncio.sleep(ROUND_DELAY)
    print_table(["VM", "PROGRAM", "TABLES"], held)
    if behind:
        print(f"version {version} is not in force at {len(behind)} programs")
        return ExitCode.PARTIAL
    print(f"version {version} is in force everywhere after {spent:.1f} s")
    return ExitCode.OK


async def read_versions(connection: Connection) -> list[tuple[str, str, str]]:
    """Return each VM's program and its version of the tables, or the failure."""
    vms = await connection.list_vms()
    rows = []
    for program in PROGRAMS:
        answers = await connection.ask_all(vms, program, "/status")
        for vm, answer in answers.items():
            held = f"? ({answer.error.kind})" if answer.is_error() else ""
            rows.append((vm, program, held or str(answer.ok["tables_version"])))
    return sorted(rows)
