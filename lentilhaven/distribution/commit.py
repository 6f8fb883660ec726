"""
Commits an edit of the tables with one conditional update.

The parts come first, then the former head's entry in the history, then the new
head.  Since nobody commits on top of a head before that head stands in the
history, a writer whose answer was lost can always learn what became of its edit,
however many edits came after it.
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

#: Largest parts of an edit that its head carries as well, in characters.
INLINE_LIMIT = 300_000

#: Tries of one write, and of learning what became of the edit.
WRITE_ATTEMPTS = 6


@attrs.frozen
class Committed:
    """
    The edit is accepted.

    Attributes
    ----------
    head : TableHead
        The head that the edit made.
    """

    head: TableHead


@attrs.frozen
class CommitConflict:
    """
    Another edit came first; nothing of this one is in force.

    Attributes
    ----------
    head : TableHead
        The head that is in force instead.
    """

    head: TableHead


CommitOutcome = Result[Committed | CommitConflict, Failure]


@attrs.define
class Committer:
    """
    The writes of one edit.

    Attributes
    ----------
    client : ObjectClient
        The platform's store.
    clock : Clock
        Source of time.
    backoff : Backoff
        Delays between tries.
    """

    client: ObjectClient
    clock: Clock
    backoff: Backoff

    async def write_fixed(self, name: str, document: object) -> Failure | None:
        """
        Write an object whose content its name determines.

        A conflict means that it is already there, and a lost answer needs no
        reading back: the same write is tried again.

        Parameters
        ----------
        name : str
            Name of the object.
        document : object
            JSON value.
        """
        failure = None
        for _ in range(WRITE_ATTEMPTS):
            outcome = await self.client.write(name, document, 0)
            if isinstance(outcome, Written | Conflict):
                return None
            failure = outcome.failure
            await self.clock.sleep(self.backoff.next_delay())
        # Nothing refers to the object yet, so that the edit can't take effect.
        return failure and attrs.evolve(failure, ran=Ran.NO)

    async def write_head(self, base: TableHead, head: TableHead) -> CommitOutcome:
        """
        Put a head in force if `base` still is.

        A write whose answer was lost is sent again: at most one of the copies
        can take effect, as both expect the same version.

        Parameters
        ----------
        base, head : TableHead
            The head before, and the one to write.
        """
        document = to_document(attrs.evolve(head, object_version=0))
        sent = False
        for _ in range(WRITE_ATTEMPTS):
            outcome = await self.client.write(HEAD_NAME, document, base.object_version)
            if isinstance(outcome, Written):
                version = outcome.version
                written = attrs.evolve(head, object_version=version, inline={})
                return Ok(Committed(written))
            if isinstance(outcome, Conflict):
                return await self.resolve(head)
            if isinstance(outcome, Refused) and not sent:
                return Error(outcome.failure)
            sent = sent or isinstance(outcome, Ambiguous)
            await self.clock.sleep(self.backoff.next_delay())
        return Error(unknown_edit())

    async def resolve(self, head: TableHead) -> CommitOutcome:
        """
        Learn after a conflict whether an edit is the one that took effect.

        Parameters
        ----------
        head : TableHead
            What the edit tried to put in force.
        """
        for _ in range(WRITE_ATTEMPTS):
            current = await read_head(self.client)
            made = await read_former_head(self.client, head.version)
            if current.is_ok() and made.is_ok():
                if made.ok.edit == head.edit:
                    return Ok(Committed(made.ok))
                return Ok(CommitConflict(current.ok))
            await self.clock.sleep(self.backoff.next_delay())
        return Error(unknown_edit())


async def commit_tables(
    client: ObjectClient,
    base: TableHead,
    tables: Tables,
    edit: str,
    author: str,
    clock: Clock | None = None,
) -> CommitOutcome:
    """
    Make `tables` the version after `base`.

    Parameters
    ----------
    client : ObjectClient
        The platform's store.
    base : TableHead
        The head that the edit is based on.
    tables : Tables
        Valid tables.
    edit : str
        Unique id of the edit.
    author : str
        Who makes the edit.
    clock : Clock or None
        Replaces the system's clock.

    Returns
    -------
    Result
        An outcome, or a failure whose `ran` says whether the edit may still
        take effect.
    """
    backoff = Backoff(derive_random(0, "commit", edit))
    committer = Committer(client, clock or system_clock(), backoff)
    parts = split_tables(tables)
    made = {name: parts[name] for name in parts if name not in base.parts}
    for name, document in made.items():
        failure = await committer.write_fixed(PART_PREFIX + name, document)
        if failure is not None:
            return Error(failure)
    if base.version > 0:
        name = history_name(base.version)
        failure = await committer.write_fixed(name, head_document(base))
        if failure is not None:
            return Error(failure)
    inline = made if len(canonical_json(made)) <= INLINE_LIMIT else {}
    head = TableHead(base.version + 1, edit, author, list(parts), inline=inline)
    return await committer.write_head(base, head)


def head_document(head: TableHead) -> dict:
    """Return what the history holds of a head."""
    return to_document(attrs.evolve(head, object_version=0, inline={}))


def unknown_edit() -> Failure:
    """Return the failure of an edit that may yet take effect."""
    detail = "the store did not answer whether the edit took effect"
    return Failure(Step.WRITE_OBJECT, "object-api", "edit-unknown", detail, Ran.UNKNOWN)
