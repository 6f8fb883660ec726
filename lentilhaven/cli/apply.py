"""The command ``apply``."""

import sys
import uuid
from pathlib import Path

from expression import Result

from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import report_failure
from lentilhaven.cli.tables_file import read_tables_file
from lentilhaven.cli.version_wait import wait_for_version
from lentilhaven.core.failure import Failure
from lentilhaven.distribution.commit import CommitConflict, Committed, commit_tables
from lentilhaven.distribution.editing import read_current_tables, rebase_edit
from lentilhaven.distribution.table_reader import read_former_head, read_tables
from lentilhaven.tables.diff import diff_tables
from lentilhaven.tables.tables import Tables

EditOutcome = Result[Committed | CommitConflict, Failure]


def apply(
    tables: Path,
    *,
    author: str = "operator",
    rebase: bool = False,
    wait: bool = False,
    timeout: float = 30.0,
    common: CommonParameter = DEFAULT_OPTIONS,
) -> int:
    """
    Apply a file of tables as a new version.

    A file printed by ``get`` holds the version that it is based on.  If another
    edit has been applied since, nothing is changed and the exit code is 3.  A file
    without a version is applied without this check.

    Parameters
    ----------
    tables
        File of tables, as JSON with comments.
    author
        Name to record as the author of the edit.
    rebase
        Apply the same changes on top of edits made since the base version.
    wait
        Wait until every VM uses the new version.
    timeout
        Maximum time to wait, in seconds.
    """
    parsed = read_tables_file(tables)
    if parsed.is_error():
        return report_failure(parsed.error, ExitCode.INVALID)

    async def run(connection: Connection) -> int:
        edit = uuid.uuid4().hex
        if rebase:
            base = await read_base(connection, parsed.ok)
            outcome = await rebase_edit(connection.store, base, parsed.ok, edit, author)
        else:
            head, current = unwrap(await read_current_tables(connection.store))
            if 0 < parsed.ok.version < head.version:
                return await report_conflict(connection, parsed.ok, current)
            outcome = await commit_tables(
                connection.store, head, parsed.ok, edit, author
            )
        return await finish_edit(connection, outcome, wait, timeout)

    return run_command(common, run)


async def read_base(connection: Connection, tables: Tables) -> Tables:
    """Return the tables that an edited file is based on."""
    head = unwrap(await read_former_head(connection.store, tables.version))
    return unwrap(await read_tables(connection.store, head))


async def finish_edit(
    connection: Connection, outcome: EditOutcome, wait: bool, timeout: float
) -> int:
    """
    Print the outcome of an edit and return the exit code.

    If the edit is accepted and `wait` is set, first waits until every VM uses the new
    version or the timeout has passed.  A conflict is a failure of kind
    ``"edit-conflict"`` if a rebase finds that both edits changed the same value in
    different ways, and a `CommitConflict` if a concurrent edit was committed first.

    Parameters
    ----------
    connection : Connection
        Connections to the store and the VMs.
    outcome : Result
        Outcome of the commit.
    wait : bool
        Whether to wait until every VM uses the new version.
    timeout : float
        Maximum time to wait, in seconds.
    """
    if outcome.is_error():
        conflict = outcome.error.kind == "edit-conflict"
        return report_failure(
            outcome.error, ExitCode.CONFLICT if conflict else ExitCode.FAILED
        )
    head = outcome.ok.head
    if isinstance(outcome.ok, CommitConflict):
        print(
            f"conflict: {head.author} has put version {head.version} in force",
            file=sys.stderr,
        )
        return ExitCode.CONFLICT
    print(f"version {head.version} is accepted")
    if wait:
        return await wait_for_version(connection, head.version, timeout)
    return ExitCode.OK


async def report_conflict(
    connection: Connection, edited: Tables, current: Tables
) -> int:
    """Print the changes made by other edits since the base; return exit code 3."""
    base = await read_base(connection, edited)
    print(
        f"conflict: the file was made from version {edited.version}, but version "
        f"{current.version} is in force; it changed:",
        file=sys.stderr,
    )
    for change in diff_tables(base, current):
        print(f"  {change}", file=sys.stderr)
    print("see --rebase, or get the tables again", file=sys.stderr)
    return ExitCode.CONFLICT
