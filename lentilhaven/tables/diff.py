"""Differences between two versions of the tables."""

from collections.abc import Iterator
from typing import Any

from lentilhaven.tables.change import ABSENT, Change
from lentilhaven.tables.keyed_document import as_maps, inner_path, key_tables
from lentilhaven.tables.tables import Tables


def diff_tables(before: Tables, after: Tables) -> list[Change]:
    """
    Return what changed between two versions, in order of path.

    Parameters
    ----------
    before, after : Tables
        The versions; their version numbers are not compared.

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
    Yield the changes at and below a path.

    Parameters
    ----------
    path : str
        Place of the two values.
    before, after : Any
        Keyed documents, or `ABSENT`.
    """
    before, after = as_maps(before, after)
    if not (isinstance(before, dict) and isinstance(after, dict)):
        if before != after:
            yield Change(path, before, after)
        return
    for key in sorted(before.keys() | after.keys()):
        place = inner_path(path, before, key)
        yield from diff_values(place, before.get(key, ABSENT), after.get(key, ABSENT))
