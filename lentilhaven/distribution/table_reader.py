"""Reading of tables and their history from the platform's store."""

from typing import Any

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.hashing import content_hash
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step
from lentilhaven.distribution.table_head import (
    HEAD_NAME,
    HISTORY_PREFIX,
    PART_PREFIX,
    TableHead,
    history_name,
)
from lentilhaven.objects.object_client import ObjectClient
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.tables.parts import join_parts, parse_part
from lentilhaven.tables.tables import Tables


async def read_head(client: ObjectClient) -> Result[TableHead, Failure]:
    """
    Read the current head; its version is 0 before the first edit.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
    """
    outcome = await client.read(HEAD_NAME)
    if outcome.is_error():
        return Error(outcome.error)
    return Ok(TableHead()) if outcome.ok is None else parse_head(outcome.ok)


def parse_head(stored: StoredObject) -> Result[TableHead, Failure]:
    """
    Parse the head that an object contains.

    Parameters
    ----------
    stored : StoredObject
        Object of the current head or of an earlier one.
    """
    head = structure_document(stored.value, TableHead)
    return head.map(lambda it: attrs.evolve(it, object_version=stored.version))


async def read_part(client: ObjectClient, part: str) -> Result[Any, Failure]:
    """
    Read one part and check its hash.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
    part : str
        Content hash of the part.
    """
    outcome = await client.read(PART_PREFIX + part)
    if outcome.is_error():
        return Error(outcome.error)
    if outcome.ok is None:
        return Error(Failure(Step.READ_OBJECT, part, "missing-part", "no object"))
    return check_part(part, outcome.ok.value)


def check_part(part: str, document: Any) -> Result[Any, Failure]:
    """
    Return the document of a part if its hash matches.

    Parameters
    ----------
    part : str
        Expected content hash.
    document : Any
        Document received.
    """
    if content_hash(document) != part:
        return Error(Failure(Step.READ_OBJECT, part, "bad-part", "the hash differs"))
    return Ok(document)


async def read_tables(client: ObjectClient, head: TableHead) -> Result[Tables, Failure]:
    """
    Read the parts that a head lists and join them into tables.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
    head : TableHead
        Head that lists the parts.
    """
    parts = []
    for part in head.parts:
        outcome = (await read_part(client, part)).bind(parse_part)
        if outcome.is_error():
            return Error(outcome.error)
        parts.append(outcome.ok)
    return Ok(join_parts(parts, head.version))


async def read_former_head(
    client: ObjectClient, version: int
) -> Result[TableHead, Failure]:
    """
    Read the head of the current version or of an earlier one.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
    version : int
        Version of the tables.
    """
    current = await read_head(client)
    if current.is_ok() and current.ok.version == version:
        return current
    outcome = await client.read(history_name(version))
    if outcome.is_error():
        return Error(outcome.error)
    if outcome.ok is None:
        detail = f"the history has no version {version}"
        return Error(Failure(Step.READ_OBJECT, "object-api", "no-version", detail))
    return parse_head(outcome.ok)


async def read_history(client: ObjectClient) -> Result[list[TableHead], Failure]:
    """
    Read the heads of all earlier versions and the current one, oldest first.

    Parameters
    ----------
    client : ObjectClient
        Client of the platform's object store.
    """
    listed = await client.list_prefix(HISTORY_PREFIX)
    if listed.is_error():
        return Error(listed.error)
    heads = []
    for stored in listed.ok:
        parsed = parse_head(stored)
        if parsed.is_error():
            return Error(parsed.error)
        heads.append(parsed.ok)
    current = await read_head(client)
    if current.is_error():
        return Error(current.error)
    # The history may already contain the current head.
    former = [head for head in heads if head.version < current.ok.version]
    return Ok([*former, current.ok])
