"""Edits as functions of the tables in force, rebased until one is accepted."""

from collections.abc import Callable

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.backoff import Backoff
from lentilhaven.core.clock import Clock, system_clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.core.randomness import derive_random
from lentilhaven.distribution.commit import CommitConflict, Committed, commit_tables
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.distribution.table_reader import (
    read_former_head,
    read_head,
    read_tables,
)
from lentilhaven.objects.object_client import ObjectClient
from lentilhaven.tables.merge import rebase_tables
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.validation import validate_tables

#: Tries of one edit against racing operators.
EDIT_ATTEMPTS = 30


async def read_current(
    client: ObjectClient,
) -> Result[tuple[TableHead, Tables], Failure]:
    """
    Read the head in force and its tables.

    Parameters
    ----------
    client : ObjectClient
        The platform's store.
    """
    head = await read_head(client)
    if head.is_error():
        return Error(head.error)
    tables = await read_tables(client, head.ok)
    if tables.is_error():
        return Error(tables.error)
    return Ok((head.ok, tables.ok))


async def edit_tables(
    client: ObjectClient,
    change: Callable[[Tables], Result[Tables, Failure]],
    edit: str,
    author: str,
    clock: Clock | None = None,
) -> Result[Committed | CommitConflict, Failure]:
    """
    Apply a change to whatever is in force, until it is accepted.

    Parameters
    ----------
    client : ObjectClient
        The platform's store.
    change : callable
        Returns the tables that follow from the ones in force, or a failure.
    edit : str
        Unique id of the edit; each try appends its number.
    author : str
        Who makes the edit.
    clock : Clock or None
        Replaces the system's clock.
    """
    ticking = clock or system_clock()
    backoff = Backoff(derive_random(0, "edit", edit))
    outcome: Result[Committed | CommitConflict, Failure]
    for attempt in range(EDIT_ATTEMPTS):
        current = await read_current(client)
        if current.is_error():
            outcome = Error(current.error)
            await ticking.sleep(backoff.next_delay())
            continue
        head, tables = current.ok
        changed = change(tables).bind(validate_tables)
        if changed.is_error():
            return Error(changed.error)
        name = f"{edit}.{attempt}"
        outcome = await commit_tables(client, head, changed.ok, name, author, clock)
        if outcome.is_ok() and isinstance(outcome.ok, Committed):
            return outcome
        if outcome.is_error() and outcome.error.ran is not Ran.NO:
            return outcome
        await ticking.sleep(backoff.next_delay())
    return outcome


async def rebase_edit(
    client: ObjectClient,
    base: Tables,
    mine: Tables,
    edit: str,
    author: str,
    clock: Clock | None = None,
) -> Result[Committed | CommitConflict, Failure]:
    """
    Commit an edit on top of whatever came after its base.

    Parameters
    ----------
    client : ObjectClient
        The platform's store.
    base : Tables
        What the edit was made on.
    mine : Tables
        The edit.
    edit, author, clock
        As in `edit_tables`.

    Returns
    -------
    Result
        A failure of kind ``"edit-conflict"`` when both sides changed a value.
    """

    def rebase(theirs: Tables) -> Result[Tables, Failure]:
        return rebase_tables(base, mine, theirs)

    return await edit_tables(client, rebase, edit, author, clock)


async def roll_back(
    client: ObjectClient,
    version: int,
    edit: str,
    author: str,
    clock: Clock | None = None,
) -> Result[Committed | CommitConflict, Failure]:
    """
    Put the content of a former version in force, as a new version.

    Parameters
    ----------
    client : ObjectClient
        The platform's store.
    version : int
        The version whose content is wanted.
    edit, author, clock
        As in `commit_tables`.
    """
    former = await read_former_head(client, version)
    if former.is_error():
        return Error(former.error)
    head = await read_head(client)
    if head.is_error():
        return Error(head.error)
    tables = await read_tables(client, former.ok)
    if tables.is_error():
        return Error(tables.error)
    valid = validate_tables(attrs.evolve(tables.ok, version=head.ok.version))
    if valid.is_error():
        return Error(valid.error)
    return await commit_tables(client, head.ok, valid.ok, edit, author, clock)
