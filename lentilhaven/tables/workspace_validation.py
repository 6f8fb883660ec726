"""Validation of the workspace table."""

import re
from collections.abc import Iterator

from lentilhaven.tables.numbers import find_number_problems
from lentilhaven.tables.workspace import Workspace

#: Format of the hashes that `lentilhaven.core.hashing.token_hash` returns.
TOKEN_HASH_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")


def find_workspace_problems(workspaces: list[Workspace]) -> Iterator[str]:
    """
    Yield the problems of all workspaces.

    Two workspaces must not share a token, because each could act as the other.

    Parameters
    ----------
    workspaces : list of Workspace
        All workspaces of the tables.

    Examples
    --------
    >>> from lentilhaven.core.ids import WorkspaceId
    >>> list(find_workspace_problems([Workspace(WorkspaceId("w"), ["secret"])]))
    ['$.workspaces[0].token_hashes[0]: must be sha256: and 64 hexadecimal digits']
    """
    owners: dict[str, str] = {}
    for index, workspace in enumerate(workspaces):
        path = f"$.workspaces[{index}]"
        yield from find_number_problems(f"{path}.weight", workspace.weight, above=0)
        yield from find_number_problems(
            f"{path}.max_rate", workspace.max_rate, at_least=0
        )
        concurrency = workspace.max_concurrency
        yield from find_number_problems(
            f"{path}.max_concurrency", concurrency, at_least=0
        )
        for number, token in enumerate(workspace.token_hashes):
            token_path = f"{path}.token_hashes[{number}]"
            if not TOKEN_HASH_PATTERN.fullmatch(token):
                yield f"{token_path}: must be sha256: and 64 hexadecimal digits"
            elif token in owners:
                yield f"{token_path}: workspace {owners[token]!r} has the same token"
            owners.setdefault(token, workspace.id)
