"""The command ``diff``."""

from pathlib import Path

from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json, report_failure
from lentilhaven.cli.tables_file import read_tables_file
from lentilhaven.distribution.editing import read_current_tables
from lentilhaven.tables.change import Change
from lentilhaven.tables.diff import diff_tables


def diff(tables: Path, *, common: CommonParameter = DEFAULT_OPTIONS) -> int:
    """
    Print the changes that applying a file of tables would make.

    Parameters
    ----------
    tables
        File of tables, as JSON with comments.
    """
    parsed = read_tables_file(tables)
    if parsed.is_error():
        return report_failure(parsed.error, ExitCode.INVALID)

    async def run(connection: Connection) -> int:
        head, current = unwrap(await read_current_tables(connection.store))
        print_changes(diff_tables(current, parsed.ok), head.version, common.json)
        return ExitCode.OK

    return run_command(common, run)


def print_changes(changes: list[Change], version: int, as_json: bool) -> None:
    """Print the changes from a version of the tables."""
    if as_json:
        entries = [{"path": it.path, "change": str(it)} for it in changes]
        print_json({"version": version, "changes": entries})
        return
    for change in changes:
        print(change)
    print(f"{len(changes)} differences from version {version}, which is in force")
