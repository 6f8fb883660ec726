"""The command ``history``."""

from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json, print_table
from lentilhaven.core.converter import to_document
from lentilhaven.distribution.table_reader import read_history


def history(*, limit: int = 20, common: CommonParameter = DEFAULT_OPTIONS) -> int:
    """
    Print the most recent versions of the tables and their authors.

    Parameters
    ----------
    limit
        Maximum number of versions to print.
    """

    async def run(connection: Connection) -> int:
        heads = unwrap(await read_history(connection.store))[-limit:]
        if common.json:
            print_json(to_document(heads))
            return ExitCode.OK
        rows = [(it.version, it.author, it.edit) for it in reversed(heads)]
        print_table(["VERSION", "AUTHOR", "EDIT"], rows)
        return ExitCode.OK

    return run_command(common, run)
