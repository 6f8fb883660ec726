"""The command ``diff``."""

from pathlib import Path

from lentilhaven.cli.common_options import DEFAULTS, Common
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json, report
from lentilhaven.cli.tables_file import read_tables_file
from lentilhaven.distribution.editing import read_current
from lentilhaven.tables.change import Change
from lentilhaven.tables.diff import diff_tables


def diff(tables: Path, *, common: Common = DEFAULTS) -> int:
    """
    Print what applying a file of tables would change.

    Parameters
    ----------
    tables
        JSON with comments.
    """
    parsed = read_tables_file(tables)
    if parsed.is_error():
        return report(parsed.error, ExitCode.INVALID)

    async def run(connection: Connection) -> int:
        head, current = unwrap(await read_current(connection.store))
        print_changes(diff_tables(current, parsed.ok), head.version, common.json)
        return ExitCode.OK

    return run_command(common, run)


def print_changes(changes: list[Change], version: int, as_json: bool) -> None:
    """Print differences from a version."""
    if as_json:
        lines = [{"path": it.path, "change": str(it)} for it in changes]
        print_json({"version": version, "changes": lines})
        return
    for change in changes:
        print(change)
    print(f"{len(changes)} differences from version {version}, which is in force")
