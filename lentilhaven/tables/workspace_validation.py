"""Checks of the workspace table."""

import re
from collections.abc import Iterator

from lentilhaven.tables.numbers import find_bad_number
from lentilhaven.tables.workspace import Workspace

#: What `lentilhaven.core.hashing.token_hash` makes.
TOKEN_HASH = re.compile(r"sha256:[0-9a-f]{64}")


def find_workspace_problems(workspaces: list[Workspace]) -> Iterator[str]:
    """
    Yield the problems of all workspaces.

    A token that two workspaces share would let one act as the other.

    Parameters
    ----------
    workspaces : list of Workspace
        The table.

    Examples
    --------
    >>> from lentilhaven.core.ids import WorkspaceId
    >>> list(find_workspace_problems([Workspace(WorkspaceId("w"), ["secret"])]))
    ['$.workspaces[0].token_hashes[0]: must be sha256: and 64 hexadecimal digits']
    """
    owners: dict[str, str] = {}
    for index, workspace in enumerate(workspaces):
        path = f"$.workspaces[{index}]"
        yield from find_bad_number(f"{path}.weight", workspace.weight, above=0)
        yield from find_bad_number(f"{path}.max_rate", workspace.max_rate, least=0)
        concurrency = workspace.max_concurrency
        yield from find_bad_number(f"{path}.max_concurrency", concurrency, least=0)
        for number, token in enumerate(workspace.token_hashes):
            place = f"{path}.token_hashes[{number}]"
            if not TOKEN_HASH.fullmatch(token):
                yield f"{place}: must be sha256: and 64 hexadecimal digits"
            elif token in owners:
                yield f"{place}: workspace {owners[token]!r} has the same token"
            owners.setdefault(token, workspace.id)
