"""
Commit of an edit of the tables by one conditional update.

The parts are written first, then the history entry of the previous head, then
the new head.  No writer commits on top of a head before that head is in the
history.  A writer that lost the response to its commit can therefore always find
out whether its edit was committed, however many edits followed it.
"""

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.backoff import Backoff
from lentilhaven.core.clock import Clock, system_clock
from lentilhaven.core.converter import to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.hashing import canonical_json
from lentilhaven.core.ran import Ran
from lentilhaven.core.randomness import derive_random
from lentilhaven.core.step import Step
from lentilhaven.distribution.table_head import (
    HEAD_NAME,
    PART_PREFIX,
    TableHead,
    history_name,
)
from lentilhaven.distribution.table_reader import read_former_head, read_head
from lentilhaven.objects.object_client import ObjectClient
from lentilhaven.objects.write_outcome import Ambiguous, Conflict, Refused, Written
from lentilhaven.tables.parts import split_tables
from lentilhaven.tables.tables import Tables

#: Maximum total size of the new parts that the head includes, in characters.
INLINE_LIMIT = 300_000

#: Maximum attempts to write an object, or to determine the outcome of an edit.
MAX_WRITE_ATTEMPTS = 6


@attrs.frozen
class Committed:
    """
    Outcome of an edit that was committed.

    Attributes
    ----------
    head : TableHead
        Head that the edit created.
    """

    head: TableHead


@attrs.frozen
class CommitConflict:
    """
    Outcome of an edit that lost to a concurrent one and has no effect.

    Attributes
    ----------
    head : TableHead
        Current head, which is not the one of this edit.
    """

    head: TableHead


CommitOutcome = Result[Committed | CommitConflict, Failure]


@attrs.define
class Committer:
    """
    Writes the objects of one edit.

    Attributes
    ----------
    client : ObjectClient
        Client of the platform's object store.
    clock : Clock
        Clock that supplies times and delays.
    backoff : Backoff
        Delays between attempts.
    """

    client: ObjectClient
    clock: Clock
    backoff: Backoff

    async def write_immutable(self, name: str, document: object) -> Failure | None:
        """
        Write an object whose content is determined by its name.

        A conflict means that the object exists already.  After a lost response
        the same write is sent again, without reading the object first.

        Parameters
        ----------
        name : str
            Name of the object.
        document : object
            Content of the object, a JSON value.

        Returns
        -------
        Failure or None
            None if the object exists; otherwise the failure of the last attempt,
            with ``NO`` as its `ran`.
        """
        failure = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            outcome = await self.client.write(name, document, 0)
            if isinstance(outcome, Written | Conflict):
                return None
            failure = outcome.failure
            await self.clock.sleep(self.backoff.next_delay())
        # No head refers to the object yet, so the edit cannot take effect.
        return failure and attrs.evolve(failure, ran=Ran.NO)

    async def write_head(self, base: TableHead, head: TableHead) -> CommitOutcome:
        """
        Replace the current head if it is still `base`.

        A write whose response was lost is sent again.  At most one of the copies
        can take effect, since all of them expect the same object version.

        Parameters
        ----------
        base, head : TableHead
            Expected current head, and its replacement.
        """
        document = to_document(attrs.evolve(head, object_version=0))
        ambiguous = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            outcome = await self.client.write(HEAD_NAME, document, base.object_version)
            if isinstance(outcome, Written):
                version = outcome.version
                written = attrs.evolve(head, object_version=version, inline={})
                return Ok(Committed(written))
            if isinstance(outcome, Conflict):
                return await self.resolve_conflict(head)
            # After an ambiguous write, a refused copy does not show that the edit
            # had no effect.
            if isinstance(outcome, Refused) and not ambiguous:
                return Error(outcome.failure)
            ambiguous = ambiguous or isinstance(outcome, Ambiguous)
            await self.clock.sleep(self.backoff.next_delay())
        return Error(unknown_edit_failure())

    async def resolve_conflict(self, head: TableHead) -> CommitOutcome:
        """
        Determine after a conflict whether the head was committed after all.

        Parameters
        ----------
        head : TableHead
            Head that the edit tried to write.
        """
        for _ in range(MAX_WRITE_ATTEMPTS):
            current = await read_head(self.client)
            candidate = await read_former_head(self.client, head.version)
            if current.is_ok() and candidate.is_ok():
                if candidate.ok.edit == head.edit:
                    return Ok(Committed(candidate.ok))
                return Ok(CommitConflict(current.ok))
            await self.clock.sleep(self.backoff.next_delay())
        return Error(unknown_edit_failure())


async def commit_tables(
    client: ObjectClient,
    base: TableHead,
    tables: Tables,
    edit: str,
    author: str,
    clock: Clock | None = None,
) -> CommitOutcome:
    """
    Commit `tables` as the next version after `base`.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
    base : TableHead
        Head on which the edit is based.
    tables : Tables
        Valid tables to commit.
    edit : str
        Unique id of the edit.
    author : str
        Author of the edit.
    clock : Clock or None
        Replaces the system's clock.

    Returns
    -------
    Result
        `Committed` or `CommitConflict`, or a failure whose `ran` tells whether
        the edit may still take effect.
    """
    backoff = Backoff(derive_random(0, "commit", edit))
    committer = Committer(client, clock or system_clock(), backoff)
    parts = split_tables(tables)
    new_parts = {name: parts[name] for name in parts if name not in base.parts}
    for name, document in new_parts.items():
        failure = await committer.write_immutable(PART_PREFIX + name, document)
        if failure is not None:
            return Error(failure)
    if base.version > 0:
        name = history_name(base.version)
        failure = await committer.write_immutable(name, history_document(base))
        if failure is not None:
            return Error(failure)
    inline = new_parts if len(canonical_json(new_parts)) <= INLINE_LIMIT else {}
    head = TableHead(base.version + 1, edit, author, list(parts), inline=inline)
    return await committer.write_head(base, head)


def history_document(head: TableHead) -> dict:
    """Return the document of a head's history entry, without inline parts."""
    return to_document(attrs.evolve(head, object_version=0, inline={}))


def unknown_edit_failure() -> Failure:
    """Return the failure of an edit that may still take effect."""
    detail = "the store did not answer whether the edit took effect"
    return Failure(Step.WRITE_OBJECT, "object-api", "edit-unknown", detail, Ran.UNKNOWN)
