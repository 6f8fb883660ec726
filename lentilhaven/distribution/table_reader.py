"""Reads the tables in force from the platform's store."""

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step
from lentilhaven.distribution.table_head import HEAD_NAME, PART_PREFIX, TableHead
from lentilhaven.platform.object_client import ObjectClient
from lentilhaven.tables.tables import Tables


async def read_head(client: ObjectClient) -> Result[TableHead, Failure]:
    """
    Read the head; version 0 when nothing has been applied yet.

    Parameters
    ----------
    client : ObjectClient
        The platform's store.
    """
    outcome = await client.read(HEAD_NAME)
    if outcome.is_error():
        return Error(outcome.error)
    stored = outcome.ok
    if stored is None:
        return Ok(TableHead())
    head = structure_document(stored.value, TableHead)
    return head.map(lambda it: attrs.evolve(it, object_version=stored.version))


async def read_tables(client: ObjectClient, head: TableHead) -> Result[Tables, Failure]:
    """
    Read all parts that a head names and join them.

    Parameters
    ----------
    client : ObjectClient
        The platform's store.
    head : TableHead
        The head to follow.
    """
    tables = Tables()
    for part in head.parts:
        outcome = await client.read(PART_PREFIX + part)
        if outcome.is_error():
            return Error(outcome.error)
        if outcome.ok is None:
            return Error(Failure(Step.READ_OBJECT, part, "missing-part", "no object"))
        parsed = structure_document(outcome.ok.value, Tables)
        if parsed.is_error():
            return Error(parsed.error)
        tables = join_tables(tables, parsed.ok)
    return Ok(attrs.evolve(tables, version=head.version))


def join_tables(first: Tables, second: Tables) -> Tables:
    """
    Return the tables that hold the entries of both.

    Parameters
    ----------
    first, second : Tables
        Parts, in order.
    """
    return Tables(
        routes=first.routes + second.routes,
        pools=first.pools + second.pools,
        workspaces=first.workspaces + second.workspaces,
    )
