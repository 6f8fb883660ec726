"""The command ``apply``."""

import sys
import uuid
from pathlib import Path

from expression import Result

from lentilhaven.cli.common_options import DEFAULTS, Common
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.following import wait_followed
from lentilhaven.cli.output import report
from lentilhaven.cli.tables_file import read_tables_file
from lentilhaven.core.failure import Failure
from lentilhaven.distribution.commit import CommitConflict, Committed, commit_tables
from lentilhaven.distribution.editing import read_current, rebase_edit
from lentilhaven.distribution.table_reader import read_former_head, read_tables
from lentilhaven.tables.diff import diff_tables
from lentilhaven.tables.tables import Tables

Outcome = Result[Committed | CommitConflict, Failure]


def apply(
    tables: Path,
    *,
    author: str = "operator",
    rebase: bool = False,
    wait: bool = False,
    timeout: float = 30.0,
    common: Common = DEFAULTS,
) -> int:
    """
    Put a file of tables in force.

    A file that was printed by ``get`` names the version that it was made from.
    If another edit came since, nothing is changed and the exit code is 3.

    Parameters
    ----------
    tables
        JSON with comments.
    author
        Who makes the edit.
    rebase
        Make the same changes on top of an edit that came since.
    wait
        Wait until every VM decides on the new version.
    timeout
        Seconds to wait at most.
    """
    parsed = read_tables_file(tables)
    if parsed.is_error():
        return report(parsed.error, ExitCode.INVALID)

    async def run(connection: Connection) -> int:
        edit = uuid.uuid4().hex
        if rebase:
            base = await read_base(connection, parsed.ok)
            outcome = await rebase_edit(connection.store, base, parsed.ok, edit, author)
        else:
            head, current = unwrap(await read_current(connection.store))
            if 0 < parsed.ok.version < head.version:
                return await report_conflict(connection, parsed.ok, current)
            outcome = await commit_tables(
                connection.store, head, parsed.ok, edit, author
            )
        return await finish(connection, outcome, wait, timeout)

    return run_command(common, run)


async def read_base(connection: Connection, tables: Tables) -> Tables:
    """Return the version that some tables were made from."""
    head = unwrap(await read_former_head(connection.store, tables.version))
    return unwrap(await read_tables(connection.store, head))


async def finish(
    connection: Connection, outcome: Outcome, wait: bool, timeout: float
) -> int:
    """Print how an edit ended, and wait for the VMs if that is asked."""
    if outcome.is_error():
        conflict = outcome.error.kind == "edit-conflict"
        return report(outcome.error, ExitCode.CONFLICT if conflict else ExitCode.FAILED)
    head = outcome.ok.head
    if isinstance(outcome.ok, CommitConflict):
        print(
            f"conflict: {head.author} has put version {head.version} in force",
            file=sys.stderr,
        )
        return ExitCode.CONFLICT
    print(f"version {head.version} is accepted")
    if wait:
        return await wait_followed(connection, head.version, timeout)
    return ExitCode.OK


async def report_conflict(connection: Connection, mine: Tables, current: Tables) -> int:
    """Print what others have changed since an edit's base."""
    base = await read_base(connection, mine)
    print(
        f"conflict: the file was made from version {mine.version}, but version "
        f"{current.version} is in force; it changed:",
        file=sys.stderr,
    )
    for change in diff_tables(base, current):
        print(f"  {change}", file=sys.stderr)
    print("see --rebase, or get the tables again", file=sys.stderr)
    return ExitCode.CONFLICT
