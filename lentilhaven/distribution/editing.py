"""Edits of the tables, which are retried if another edit was committed first."""

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

#: Maximum attempts to commit an edit; conflicts and failures without effect cause
#: more than one.
MAX_EDIT_ATTEMPTS = 30


async def read_current_tables(
    client: ObjectClient,
) -> Result[tuple[TableHead, Tables], Failure]:
    """
    Read the current head and its tables.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
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
    Apply a change to the current tables and commit it.

    The edit is retried after a conflict or a failure that had no effect, in
    at most `MAX_EDIT_ATTEMPTS` attempts.  It is not retried if the change fails, if the
    changed tables are invalid, or if the commit may still take effect.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
    change : callable
        Takes the current tables and returns the changed ones, or a failure.
    edit : str
        Unique id of the edit; each attempt appends its number.
    author : str
        Author of the edit.
    clock : Clock or None
        Replaces the system's clock.

    Returns
    -------
    Result
        Outcome of the last attempt.
    """
    retry_clock = clock or system_clock()
    backoff = Backoff(derive_random(0, "edit", edit))
    outcome: Result[Committed | CommitConflict, Failure]
    for attempt in range(MAX_EDIT_ATTEMPTS):
        current = await read_current_tables(client)
        if current.is_error():
            outcome = Error(current.error)
            await retry_clock.sleep(backoff.next_delay())
            continue
        head, tables = current.ok
        changed = change(tables).bind(validate_tables)
        if changed.is_error():
            return Error(changed.error)
        attempt_id = f"{edit}.{attempt}"
        outcome = await commit_tables(
            client, head, changed.ok, attempt_id, author, clock
        )
        if outcome.is_ok() and isinstance(outcome.ok, Committed):
            return outcome
        if outcome.is_error() and outcome.error.ran is not Ran.NO:
            return outcome
        await retry_clock.sleep(backoff.next_delay())
    return outcome


async def rebase_edit(
    client: ObjectClient,
    base: Tables,
    edited: Tables,
    edit: str,
    author: str,
    clock: Clock | None = None,
) -> Result[Committed | CommitConflict, Failure]:
    """
    Rebase an edit on the current tables and commit it.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
    base : Tables
        Tables on which the edit was made.
    edited : Tables
        Edited tables.
    edit, author, clock
        As in `edit_tables`.

    Returns
    -------
    Result
        Outcome of the commit, or a failure of kind ``"edit-conflict"`` if the
        edit and the current tables changed the same value of `base`.
    """

    def rebase(theirs: Tables) -> Result[Tables, Failure]:
        return rebase_tables(base, edited, theirs)

    return await edit_tables(client, rebase, edit, author, clock)


async def roll_back(
    client: ObjectClient,
    version: int,
    edit: str,
    author: str,
    clock: Clock | None = None,
) -> Result[Committed | CommitConflict, Failure]:
    """
    Commit the content of an earlier version as a new version, without retries.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
    version : int
        Version whose content is restored.
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
