"""Rebases an edit of the tables onto another edit that came first."""

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
    Entries,
    as_maps,
    inner_path,
    key_tables,
    unkey_tables,
)
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.validation import validate_tables


@attrs.define
class Merge:
    """
    A three-way merge in progress.

    Attributes
    ----------
    conflicts : list of str
        Paths that both sides changed, differently.
    """

    conflicts: list[str] = attrs.field(factory=list)

    def merge(self, path: str, base: Any, mine: Any, theirs: Any) -> Any:
        """
        Return the value that holds the changes of both sides.

        Parameters
        ----------
        path : str
            Place of the values.
        base, mine, theirs : Any
            Keyed documents, or `ABSENT`.
        """
        base, mine, theirs = as_maps(base, mine, theirs)
        if mine == base or mine == theirs:
            return theirs
        if theirs == base:
            return mine
        if all(isinstance(value, dict) for value in (base, mine, theirs)):
            return self.merge_maps(path, base, mine, theirs)
        self.conflicts.append(path)
        return theirs

    def merge_maps(self, path: str, base: dict, mine: dict, theirs: dict) -> dict:
        """Merge maps key by key."""
        merged: dict = Entries() if isinstance(theirs, Entries) else {}
        for key in [*theirs, *(key for key in mine if key not in theirs)]:
            values = [side.get(key, ABSENT) for side in (base, mine, theirs)]
            place = inner_path(path, theirs, key)
            order = path == "$" and key == ROUTE_ORDER
            value = self.merge_order(*values) if order else self.merge(place, *values)
            if value is not ABSENT:
                merged[key] = value
        return merged

    def merge_order(
        self, base: Sequence[str], mine: Sequence[str], theirs: Sequence[str]
    ) -> list[str]:
        """Merge orders of precedence; new entries follow their predecessor."""
        mine_moved = is_moved(base, mine)
        if mine_moved and is_moved(base, theirs) and mine != theirs:
            self.conflicts.append(f"$.{ROUTE_ORDER}")
        lead, other = (mine, theirs) if mine_moved else (theirs, mine)
        merged = [name for name in lead if name in other or name not in base]
        for index, name in enumerate(other):
            if name in base or name in merged:
                continue
            before = [it for it in other[:index] if it in merged]
            merged.insert(merged.index(before[-1]) + 1 if before else 0, name)
        return merged


def is_moved(base: Sequence[str], side: Sequence[str]) -> bool:
    """
    Return whether a side changed the relative order of the base's entries.

    Examples
    --------
    >>> is_moved(["a", "b"], ["a", "new", "b"]), is_moved(["a", "b"], ["b", "a"])
    (False, True)
    """
    kept = [name for name in base if name in side]
    return [name for name in side if name in base] != kept


def rebase_tables(
    base: Tables, mine: Tables, theirs: Tables
) -> Result[Tables, Failure]:
    """
    Return `theirs` with the changes that lead from `base` to `mine`.

    Parameters
    ----------
    base : Tables
        What the edit was made on.
    mine : Tables
        The edit.
    theirs : Tables
        What is in force by now.

    Returns
    -------
    Result
        Valid tables; or a failure of kind ``"edit-conflict"`` that lists the
        paths that both changed, or one of kind ``"invalid-tables"`` when each
        edit is valid alone and the two are wrong together.
    """
    merge = Merge()
    keyed = [key_tables(tables) for tables in (base, mine, theirs)]
    merged = merge.merge_maps("$", *keyed)
    if merge.conflicts:
        detail = "both edits changed " + ", ".join(merge.conflicts)
        return Error(Failure(Step.PARSE, "", "edit-conflict", detail))
    parsed = structure_document(unkey_tables(merged), Tables)
    versioned = parsed.map(lambda it: attrs.evolve(it, version=theirs.version))
    return versioned.bind(validate_tables)
