"""Commits an edit of the tables with one conditional update."""

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.hashing import content_hash
from lentilhaven.core.ran import Ran
from lentilhaven.core.settings import to_document
from lentilhaven.core.step import Step
from lentilhaven.distribution.table_head import HEAD_NAME, PART_PREFIX, TableHead
from lentilhaven.distribution.table_reader import read_head
from lentilhaven.platform.object_client import ObjectClient
from lentilhaven.platform.write_outcome import Ambiguous, Conflict, Refused
from lentilhaven.tables.tables import Tables

#: Tries of resolving a write whose answer was lost.
RESOLVE_ATTEMPTS = 5


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


async def commit_tables(
    client: ObjectClient, base: TableHead, tables: Tables, edit: str, author: str
) -> Result[Committed | CommitConflict, Failure]:
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

    Returns
    -------
    Result
        An outcome, or a failure whose `ran` says whether the edit may still
        take effect.
    """
    parts = split_tables(tables)
    for name, document in parts.items():
        failure = await write_part(client, name, document)
        if failure is not None:
            return Error(failure)
    head = TableHead(base.version + 1, edit, author, list(parts))
    document = to_document(attrs.evolve(head, object_version=0))
    outcome = await client.write(HEAD_NAME, document, base.object_version)
    if isinstance(outcome, Refused):
        return Error(outcome.failure)
    if isinstance(outcome, Conflict | Ambiguous):
        return await resolve_commit(client, base, head)
    return Ok(Committed(attrs.evolve(head, object_version=outcome.version)))


def split_tables(tables: Tables) -> dict[str, dict]:
    """
    Return the parts of some tables by content hash.

    Parameters
    ----------
    tables : Tables
        The tables.
    """
    documents = [
        {"routes": to_document(tables.routes)},
        {"pools": to_document(tables.pools)},
        {"workspaces": to_document(tables.workspaces)},
    ]
    return {content_hash(document): document for document in documents}


async def write_part(client: ObjectClient, name: str, document: dict) -> Failure | None:
    """Write an immutable part; a conflict means that it is already there."""
    outcome = await client.write(PART_PREFIX + name, document, 0)
    if isinstance(outcome, Refused):
        return outcome.failure
    if isinstance(outcome, Ambiguous):
        read = await client.read(PART_PREFIX + name)
        if read.is_error():
            return read.error
        return None if read.ok else outcome.failure
    return None


async def resolve_commit(
    client: ObjectClient, base: TableHead, head: TableHead
) -> Result[Committed | CommitConflict, Failure]:
    """Read the head back to learn whether an edit took effect."""
    for _ in range(RESOLVE_ATTEMPTS):
        found = await read_head(client)
        if found.is_error():
            continue
        if found.ok.edit == head.edit:
            return Ok(Committed(found.ok))
        if found.ok.version > base.version:
            return Ok(CommitConflict(found.ok))
    detail = "the store did not answer whether the edit took effect"
    failure = Failure(
        Step.WRITE_OBJECT, "object-api", "edit-unknown", detail, Ran.UNKNOWN
    )
    return Error(failure)
