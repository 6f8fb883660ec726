"""The command ``rollback``."""

import uuid

from lentilhaven.cli.apply import finish
from lentilhaven.cli.common_options import DEFAULTS, Common
from lentilhaven.cli.connection import Connection, run_command
from lentilhaven.distribution.editing import roll_back


def rollback(
    version: int,
    *,
    author: str = "operator",
    wait: bool = False,
    timeout: float = 30.0,
    common: Common = DEFAULTS,
) -> int:
    """
    Put the content of a former version in force, as a new version.

    Parameters
    ----------
    version
        The version whose content is wanted.
    author
        Who makes the edit.
    wait
        Wait until every VM decides on the new version.
    timeout
        Seconds to wait at most.
    """

    async def run(connection: Connection) -> int:
        edit = uuid.uuid4().hex
        outcome = await roll_back(connection.store, version, edit, author)
        return await finish(connection, outcome, wait, timeout)

    return run_command(common, run)
