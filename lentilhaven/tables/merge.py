"""Three-way merge that rebases an edit of the tables onto an earlier edit."""

from collections.abc import Sequence
from typing import Any

import attrs
from expression import Error, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step
from lentilhaven.tables.change import ABSENT
from lentilhaven.tables.keyed_document import (
    ROUTE_ORDER,
    EntryMap,
    child_path,
    convert_empty_lists,
    key_tables,
    unkey_tables,
)
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.validation import validate_tables


@attrs.define
class Merge:
    """
    Three-way merge that collects conflicts.

    Attributes
    ----------
    conflicts : list of str
        Paths that both sides changed in different ways.
    """

    conflicts: list[str] = attrs.field(factory=list)

    def merge(self, path: str, base: Any, mine: Any, theirs: Any) -> Any:
        """
        Return a value with the changes of both sides.

        If both sides changed it differently, record a conflict and return `theirs`.

        Parameters
        ----------
        path : str
            Path of the values.
        base, mine, theirs : Any
            Keyed documents, or `ABSENT`.
        """
        base, mine, theirs = convert_empty_lists(base, mine, theirs)
        if mine == base or mine == theirs:
            return theirs
        if theirs == base:
            return mine
        if all(isinstance(value, dict) for value in (base, mine, theirs)):
            return self.merge_maps(path, base, mine, theirs)
        self.conflicts.append(path)
        return theirs

    def merge_maps(self, path: str, base: dict, mine: dict, theirs: dict) -> dict:
        """Merge maps key by key, and the order of routes as an order."""
        merged: dict = EntryMap() if isinstance(theirs, EntryMap) else {}
        for key in [*theirs, *(key for key in mine if key not in theirs)]:
            values = [side.get(key, ABSENT) for side in (base, mine, theirs)]
            key_path = child_path(path, theirs, key)
            is_order = path == "$" and key == ROUTE_ORDER
            value = (
                self.merge_order(*values) if is_order else self.merge(key_path, *values)
            )
            if value is not ABSENT:
                merged[key] = value
        return merged

    def merge_order(
        self, base: Sequence[str], mine: Sequence[str], theirs: Sequence[str]
    ) -> list[str]:
        """
        Merge two orders of precedence.

        The order of the side that moved entries is kept; that of `theirs` if `mine`
        moved none.  Entries that only the other side added come right after their
        nearest predecessor.  If both sides moved entries differently, a conflict is
        recorded.
        """
        mine_reordered = is_reordered(base, mine)
        if mine_reordered and is_reordered(base, theirs) and mine != theirs:
            self.conflicts.append(f"$.{ROUTE_ORDER}")
        primary, other = (mine, theirs) if mine_reordered else (theirs, mine)
        merged = [name for name in primary if name in other or name not in base]
        for index, name in enumerate(other):
            if name in base or name in merged:
                continue
            earlier = [it for it in other[:index] if it in merged]
            merged.insert(merged.index(earlier[-1]) + 1 if earlier else 0, name)
        return merged


def is_reordered(base: Sequence[str], side: Sequence[str]) -> bool:
    """
    Return whether a side changed the relative order of entries of the base.

    Examples
    --------
    >>> is_reordered(["a", "b"], ["a", "new", "b"]), is_reordered(
    ...     ["a", "b"], ["b", "a"]
    ... )
    (False, True)
    """
    kept = [name for name in base if name in side]
    return [name for name in side if name in base] != kept


def rebase_tables(
    base: Tables, mine: Tables, theirs: Tables
) -> Result[Tables, Failure]:
    """
    Apply the changes between `base` and `mine` to `theirs`.

    Parameters
    ----------
    base : Tables
        Tables on which the edit is based.
    mine : Tables
        Edited tables.
    theirs : Tables
        Active tables.

    Returns
    -------
    Result
        Valid tables with the version of `theirs`; or a failure of kind
        ``"edit-conflict"`` that lists the paths that both edits changed in different
        ways; or a failure of kind ``"invalid-tables"`` if the
        edits are valid separately but not together.
    """
    merge = Merge()
    keyed = [key_tables(tables) for tables in (base, mine, theirs)]
    merged = merge.merge_maps("$", *keyed)
    if merge.conflicts:
        detail = "both edits changed " + ", ".join(merge.conflicts)
        return Error(Failure(Step.PARSE, "", "edit-conflict", detail))
    parsed = structure_document(unkey_tables(merged), Tables)
    versioned = parsed.map(lambda tables: attrs.evolve(tables, version=theirs.version))
    return versioned.bind(validate_tables)
