"""Differences between two versions of the tables."""

from collections.abc import Iterator
from typing import Any

from lentilhaven.tables.change import ABSENT, Change
from lentilhaven.tables.keyed_document import (
    child_path,
    convert_empty_lists,
    key_tables,
)
from lentilhaven.tables.tables import Tables


def diff_tables(before: Tables, after: Tables) -> list[Change]:
    """
    Return the changes between two versions, sorted by path.

    Parameters
    ----------
    before, after : Tables
        Versions to compare; their version numbers are ignored.

    Examples
    --------
    >>> import attrs
    >>> from lentilhaven.core.ids import WorkspaceId
    >>> from lentilhaven.tables.workspace import Workspace
    >>> depot = Workspace(WorkspaceId("depot"), [])
    >>> heavier = attrs.evolve(depot, weight=2.0)
    >>> before, after = Tables(workspaces=[depot]), Tables(workspaces=[heavier])
    >>> print(*diff_tables(before, after))
    $.workspaces[depot].weight: 1.0 -> 2.0
    """
    return list(diff_values("$", key_tables(before), key_tables(after)))


def diff_values(path: str, before: Any, after: Any) -> Iterator[Change]:
    """
    Yield the changes between two values and the values nested in them.

    Parameters
    ----------
    path : str
        Path of the two values.
    before, after : Any
        Keyed documents, or `ABSENT`.
    """
    before, after = convert_empty_lists(before, after)
    if not (isinstance(before, dict) and isinstance(after, dict)):
        if before != after:
            yield Change(path, before, after)
        return
    for key in sorted(before.keys() | after.keys()):
        key_path = child_path(path, before, key)
        yield from diff_values(
            key_path, before.get(key, ABSENT), after.get(key, ABSENT)
        )
