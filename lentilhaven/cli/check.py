"""The command ``check``."""

from pathlib import Path

from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import report_failure
from lentilhaven.cli.tables_file import read_tables_file


def check(tables: Path) -> int:
    """
    Validate a file of tables without connecting to the system.

    Parameters
    ----------
    tables
        File of tables, as JSON with comments.
    """
    parsed = read_tables_file(tables)
    if parsed.is_error():
        return report_failure(parsed.error, ExitCode.INVALID)
    valid = parsed.ok
    print(
        f"{tables}: valid: {len(valid.routes)} routes, {len(valid.pools)} pools, "
        f"{len(valid.workspaces)} workspaces"
    )
    return ExitCode.OK
