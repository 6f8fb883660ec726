"""
Division of the tables into parts that each fit into one stored object.

An object holds at most 1 MB, and an edit should transfer few bytes.  Entries are
therefore distributed over buckets by the hash of their name, so that an edit of
one workspace or endpoint changes one part.  The number of buckets doubles as the
number of entries grows.
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

#: Maximum mean number of entries per bucket; a bucket stays far below 1 MB.
MAX_MEAN_BUCKET_SIZE = 200


@attrs.frozen
class TablePart:
    """
    Part of the tables, as stored in one object.

    Attributes
    ----------
    routes : list of Route
        Routes in order of precedence.
    pools : list of Pool
        Pools without their endpoints.
    endpoints : dict
        Lists of `EndpointSpec` by name of the pool.
    workspaces : list of Workspace
        Workspaces in any order.
    """

    routes: list[Route] = attrs.field(factory=list)
    pools: list[Pool] = attrs.field(factory=list)
    endpoints: dict[PoolName, list[EndpointSpec]] = attrs.field(factory=dict)
    workspaces: list[Workspace] = attrs.field(factory=list)


def split_tables(tables: Tables) -> dict[str, Any]:
    """
    Return the documents of the parts by content hash, in the order of the parts.

    Parameters
    ----------
    tables : Tables
        Tables to split.

    Examples
    --------
    >>> sorted(split_tables(Tables()).values(), key=str)
    [{'pools': []}, {'routes': []}]
    """
    bare_pools = [attrs.evolve(pool, endpoints=[]) for pool in tables.pools]
    documents = [
        {"routes": to_document(tables.routes)},
        {"pools": to_document(bare_pools)},
    ]
    for pool in tables.pools:
        for bucket in split_buckets(pool.endpoints):
            documents.append({"endpoints": {pool.name: to_document(bucket)}})
    for bucket in split_buckets(tables.workspaces):
        documents.append({"workspaces": to_document(bucket)})
    return {content_hash(document): document for document in documents}


def split_buckets(entries: list) -> list[list]:
    """
    Distribute entries over buckets by the hash of their id; omit empty buckets.

    Parameters
    ----------
    entries : list
        Entries with an ``id``.
    """
    count = 1
    while len(entries) > count * MAX_MEAN_BUCKET_SIZE:
        count *= 2
    buckets: list[list] = [[] for _ in range(count)]
    for entry in entries:
        buckets[xxhash.xxh3_64_intdigest(entry.id.encode()) % count].append(entry)
    return [bucket for bucket in buckets if bucket]


def parse_part(document: Any) -> Result[TablePart, Failure]:
    """
    Convert a document to a part.

    Parameters
    ----------
    document : Any
        Document, as returned by `split_tables`.
    """
    return structure_document(document, TablePart)


def join_parts(parts: list[TablePart], version: int) -> Tables:
    """
    Return the tables that the parts contain; the inverse of `split_tables`.

    Parameters
    ----------
    parts : list of TablePart
        All parts, in the order in which `split_tables` returned their documents.
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
    """Append the entries of `part` to those of `joined`."""
    joined.routes.extend(part.routes)
    joined.pools.extend(part.pools)
    joined.workspaces.extend(part.workspaces)
    for pool, specs in part.endpoints.items():
        joined.endpoints.setdefault(pool, []).extend(specs)
