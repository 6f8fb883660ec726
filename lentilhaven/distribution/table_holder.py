"""The tables that a process holds."""

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

#: Maximum number of kept parts outside the current tables; an edit's parts can
#: arrive before its head.
MAX_UNUSED_PARTS = 64


@attrs.define
class TableHolder:
    """
    The current head, its parts, and the tables that they form.

    Attributes
    ----------
    head : TableHead
        Current head; version 0 before the first edit.
    tables : Tables
        Current tables.
    documents : dict
        Documents of the current parts and of some others, by content hash.
    parsed : dict
        `TablePart` of each current part, by content hash.
    changed : Signal
        Notified when newer tables have been adopted.
    """

    head: TableHead = attrs.field(factory=TableHead)
    tables: Tables = attrs.field(factory=Tables)
    documents: dict[str, Any] = attrs.field(factory=dict)
    parsed: dict[str, TablePart] = attrs.field(factory=dict)
    changed: Signal = attrs.field(factory=Signal)

    def store_part(self, part: str, document: Any) -> None:
        """
        Store a part whose hash the caller has checked.

        Parameters
        ----------
        part : str
            Content hash.
        document : Any
            Document of the part.
        """
        self.documents[part] = document
        current = set(self.head.parts)
        unused = [it for it in self.documents if it not in current]
        for old in unused[:-MAX_UNUSED_PARTS]:
            del self.documents[old]

    def missing_parts(self, head: TableHead) -> list[str]:
        """Return the hashes of a head's parts that are not stored here."""
        return [part for part in head.parts if part not in self.documents]

    def adopt(
        self, head: TableHead, documents: dict[str, Any], checked: bool = False
    ) -> Result[bool, Failure]:
        """
        Adopt a head if it is newer than the current one.

        Parameters
        ----------
        head : TableHead
            The head.
        documents : dict
            Documents of all its parts, by content hash.
        checked : bool
            Whether another process on this VM has already validated the tables.

        Returns
        -------
        Result
            Whether the head was newer, or a failure if its tables are invalid.
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
        self.activate(head, tables, parsed, documents)
        return Ok(True)

    def activate(
        self,
        head: TableHead,
        tables: Tables,
        parsed: dict[str, TablePart],
        documents: dict[str, Any],
    ) -> None:
        """Replace head, tables and parts together; the version must increase."""
        held = self.head.version
        ensure(head.version > held, "version-rises", (held, head.version))
        ensure(tables.version == head.version, "version-of-head", head.version)
        self.head = head
        self.tables = tables
        self.parsed = parsed
        for part in head.parts:
            self.documents[part] = documents[part]
        self.changed.notify()
