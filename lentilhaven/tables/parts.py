"""
Division of the tables into parts for the store.

One object holds at most 1 MB, and an edit should move few bytes: entries are
spread over buckets by the hash of their name, so that an edit of one workspace
or endpoint changes one part.  The number of buckets grows with the number of
entries, by doubling.
"""

from typing import Any

import attrs
import xxhash
from expression import Result

from lentilhaven.core.converter import to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.hashing import content_hash
from lentilhaven.core.ids import PoolName
from lentilhaven.core.settings import structure_document
from lentilhaven.tables.endpoint_spec import EndpointSpec
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.workspace import Workspace

#: Entries for which one bucket is enough; a bucket stays far below 1 MB.
BUCKET_SIZE = 200


@attrs.frozen
class TablePart:
    """
    A part of the tables, as the store holds it.

    Attributes
    ----------
    routes : list of Route
        In order of precedence.
    pools : list of Pool
        Without their endpoints.
    endpoints : dict
        Lists of `EndpointSpec` by pool.
    workspaces : list of Workspace
        In any order.
    """

    routes: list[Route] = attrs.field(factory=list)
    pools: list[Pool] = attrs.field(factory=list)
    endpoints: dict[PoolName, list[EndpointSpec]] = attrs.field(factory=dict)
    workspaces: list[Workspace] = attrs.field(factory=list)


def split_tables(tables: Tables) -> dict[str, Any]:
    """
    Return the documents of some tables by content hash, in order.

    Parameters
    ----------
    tables : Tables
        The tables.

    Examples
    --------
    >>> sorted(split_tables(Tables()).values(), key=str)
    [{'pools': []}, {'routes': []}]
    """
    bare = [attrs.evolve(pool, endpoints=[]) for pool in tables.pools]
    documents = [{"routes": to_document(tables.routes)}, {"pools": to_document(bare)}]
    for pool in tables.pools:
        for bucket in split_buckets(pool.endpoints):
            documents.append({"endpoints": {pool.name: to_document(bucket)}})
    for bucket in split_buckets(tables.workspaces):
        documents.append({"workspaces": to_document(bucket)})
    return {content_hash(document): document for document in documents}


def split_buckets(entries: list) -> list[list]:
    """
    Spread entries over buckets by the hash of their id.

    Parameters
    ----------
    entries : list
        Entries with an ``id``.
    """
    count = 1
    while len(entries) > count * BUCKET_SIZE:
        count *= 2
    buckets: list[list] = [[] for _ in range(count)]
    for entry in entries:
        buckets[xxhash.xxh3_64_intdigest(entry.id.encode()) % count].append(entry)
    return [bucket for bucket in buckets if bucket]


def parse_part(document: Any) -> Result[TablePart, Failure]:
    """
    Return the part that a document holds.

    Parameters
    ----------
    document : Any
        As `split_tables` makes it.
    """
    return structure_document(document, TablePart)


def join_parts(parts: list[TablePart], version: int) -> Tables:
    """
    Return the tables that some parts form.

    Parameters
    ----------
    parts : list of TablePart
        All parts, in order.
    version : int
        Version of the tables.
    """
    joined = TablePart()
    for part in parts:
        add_part(joined, part)
    pools = [
        attrs.evolve(pool, endpoints=joined.endpoints.get(pool.name, []))
        for pool in joined.pools
    ]
    return Tables(joined.routes, pools, joined.workspaces, version)


def add_part(joined: TablePart, part: TablePart) -> None:
    """Append the entries of a part to those joined so far."""
    joined.routes.extend(part.routes)
    joined.pools.extend(part.pools)
    joined.workspaces.extend(part.workspaces)
    for pool, specs in part.endpoints.items():
        joined.endpoints.setdefault(pool, []).extend(specs)
