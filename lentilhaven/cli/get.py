"""The command ``get``."""

from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
from lentilhaven.cli.connection import Connection, run_command, unwrap
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json
from lentilhaven.core.converter import to_document
from lentilhaven.distribution.table_reader import (
    read_former_head,
    read_head,
    read_tables,
)


def get(*, version: int = 0, common: CommonParameter = DEFAULT_OPTIONS) -> int:
    """
    Print the tables in force, in the format that ``apply`` reads.

    Parameters
    ----------
    version
        Version to print; 0 for the one in force.
    """

    async def run(connection: Connection) -> int:
        if version:
            head = unwrap(await read_former_head(connection.store, version))
        else:
            head = unwrap(await read_head(connection.store))
        print_json(to_document(unwrap(await read_tables(connection.store, head))))
        return ExitCode.OK

    return run_command(common, run)
