"""Waits until every VM uses a version of the tables."""

import asyncio
import time

from lentilhaven.cli.connection import Connection
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_table

#: Seconds between two polls of all VMs.
POLL_INTERVAL = 0.2

PROGRAMS = ("agent", "router")


async def wait_for_version(connection: Connection, version: int, timeout: float) -> int:
    """
    Wait until all VMs use a version of the tables, and return an exit code.

    The version that each program uses at the end is printed.

    Parameters
    ----------
    connection : Connection
        Connections to the store and the VMs.
    version : int
        Version to wait for; a newer one counts too.
    timeout : float
        Maximum time to wait, in seconds.
    """
    started_at = time.monotonic()
    while True:
        rows = await read_versions(connection)
        outdated = [
            row for row in rows if not row[2].isdigit() or int(row[2]) < version
        ]
        elapsed = time.monotonic() - started_at
        if not outdated or elapsed > timeout:
            break
        await asyncio.sleep(POLL_INTERVAL)
    print_table(["VM", "PROGRAM", "TABLES"], rows)
    if outdated:
        print(f"version {version} is not in force at {len(outdated)} programs")
        return ExitCode.PARTIAL
    print(f"version {version} is in force everywhere after {elapsed:.1f} s")
    return ExitCode.OK


async def read_versions(connection: Connection) -> list[tuple[str, str, str]]:
    """
    Return a row for each program of each VM, sorted.

    A row holds the VM, the program, and the version of its tables or, after a question
    mark, the kind of failure of the query.
    """
    vms = await connection.list_vms()
    rows = []
    for program in PROGRAMS:
        answers = await connection.request_all(vms, program, "/status")
        for vm, answer in answers.items():
            error = f"? ({answer.error.kind})" if answer.is_error() else ""
            rows.append((vm, program, error or str(answer.ok["tables_version"])))
    return sorted(rows)
