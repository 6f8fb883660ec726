"""The tables that an agent holds."""

from typing import Any

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.invariants import ensure
from lentilhaven.core.signal import Signal
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.tables.parts import TablePart, join_parts, parse_part
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.validation import validate_tables

#: Parts kept beside those in force, since an edit's parts arrive before its head.
SPARE_PARTS = 64


@attrs.define
class TableHolder:
    """
    The head in force, its parts, and the tables that they form.

    Attributes
    ----------
    head : TableHead
        The head in force; version 0 before the first.
    tables : Tables
        The tables in force.
    documents : dict
        Documents of parts by content hash: those in force and some others.
    parsed : dict
        `TablePart` by content hash, of the parts in force.
    changed : Signal
        Notified when newer tables are in force.
    """

    head: TableHead = attrs.field(factory=TableHead)
    tables: Tables = attrs.field(factory=Tables)
    documents: dict[str, Any] = attrs.field(factory=dict)
    parsed: dict[str, TablePart] = attrs.field(factory=dict)
    changed: Signal = attrs.field(factory=Signal)

    def keep_part(self, part: str, document: Any) -> None:
        """
        Keep a part whose hash has been checked.

        Parameters
        ----------
        part : str
            Content hash.
        document : Any
            The part.
        """
        self.documents[part] = document
        in_force = set(self.head.parts)
        spare = [it for it in self.documents if it not in in_force]
        for old in spare[:-SPARE_PARTS]:
            del self.documents[old]

    def missing_parts(self, head: TableHead) -> list[str]:
        """Return the parts of a head that are not held."""
        return [part for part in head.parts if part not in self.documents]

    def adopt(
        self, head: TableHead, documents: dict[str, Any], checked: bool = False
    ) -> Result[bool, Failure]:
        """
        Put a head in force if it is newer than the one held.

        Parameters
        ----------
        head : TableHead
            The head.
        documents : dict
            All its parts by content hash.
        checked : bool
            Whether another holder on this VM has already validated them.

        Returns
        -------
        Result
            Whether it was newer; or a failure if its tables are invalid.
        """
        if head.version <= self.head.version:
            same = head.version < self.head.version or head.edit == self.head.edit
            ensure(same, "one-edit-per-version", (head.version, head.edit))
            return Ok(False)
        parsed = {}
        for part in head.parts:
            known = self.parsed.get(part)
            outcome = Ok(known) if known else parse_part(documents[part])
            if outcome.is_error():
                return Error(outcome.error)
            parsed[part] = outcome.ok
        tables = join_parts(list(parsed.values()), head.version)
        valid = Ok(tables) if checked else validate_tables(tables)
        if valid.is_error():
            return Error(valid.error)
        self.put_in_force(head, tables, parsed, documents)
        return Ok(True)

    def put_in_force(
        self,
        head: TableHead,
        tables: Tables,
        parsed: dict[str, TablePart],
        documents: dict[str, Any],
    ) -> None:
        """Replace everything at once; the version must rise."""
        held = self.head.version
        ensure(head.version > held, "version-rises", (held, head.version))
        ensure(tables.version == head.version, "version-of-head", head.version)
        self.head = head
        self.tables = tables
        self.parsed = parsed
        for part in head.parts:
            self.documents[part] = documents[part]
        self.changed.notify()
