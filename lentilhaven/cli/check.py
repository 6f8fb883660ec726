"""The command ``check``."""

from pathlib import Path

from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import report
from lentilhaven.cli.tables_file import read_tables_file


def check(tables: Path) -> int:
    """
    Check a file of tables without reaching the system.

    Parameters
    ----------
    tables
        JSON with comments.
    """
    parsed = read_tables_file(tables)
    if parsed.is_error():
        return report(parsed.error, ExitCode.INVALID)
    found = parsed.ok
    print(
        f"{tables}: valid: {len(found.routes)} routes, {len(found.pools)} pools, "
        f"{len(found.workspaces)} workspaces"
    )
    return ExitCode.OK
