"""The command ``rollback``."""

import uuid

from lentilhaven.cli.apply import finish_edit
from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
from lentilhaven.cli.connection import Connection, run_command
from lentilhaven.distribution.editing import roll_back


def rollback(
    version: int,
    *,
    author: str = "operator",
    wait: bool = False,
    timeout: float = 30.0,
    common: CommonParameter = DEFAULT_OPTIONS,
) -> int:
    """
    Restore the content of a former version as a new version.

    Parameters
    ----------
    version
        Version whose content is restored.
    author
        Name to record as the author of the edit.
    wait
        Wait until every VM uses the new version.
    timeout
        Maximum time to wait, in seconds.
    """

    async def run(connection: Connection) -> int:
        edit = uuid.uuid4().hex
        outcome = await roll_back(connection.store, version, edit, author)
        return await finish_edit(connection, outcome, wait, timeout)

    return run_command(common, run)
