"""
Validation of the tables and of the references between them.

`lentilhaven.core.settings` checks the structure of a document; this module checks
what types cannot express: uniqueness, references and ranges.  It lists every
problem with the path of the invalid value, so that an operator can fix all of
them in one edit.
"""

from collections.abc import Iterator

from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import parse_document
from lentilhaven.core.step import Step
from lentilhaven.tables.pool_validation import find_pool_problems
from lentilhaven.tables.route_validation import find_route_problems
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.workspace_validation import find_workspace_problems


def parse_tables(text: str) -> Result[Tables, Failure]:
    """
    Parse tables from JSON with comments and validate them.

    Parameters
    ----------
    text : str
        Document with the keys ``routes``, ``pools`` and ``workspaces``.

    Examples
    --------
    >>> parse_tables('{routes: [{name: "chat", pool: "big"}]}').error.detail
    "$.routes[0].pool: no pool is called 'big'"
    """
    return parse_document(text, Tables).bind(validate_tables)


def validate_tables(tables: Tables) -> Result[Tables, Failure]:
    """
    Return `tables`, or a failure that lists all of their problems.

    Parameters
    ----------
    tables : Tables
        Parsed tables.
    """
    problems = list(find_problems(tables))
    if not problems:
        return Ok(tables)
    return Error(Failure(Step.PARSE, "", "invalid-tables", "; ".join(problems)))


def find_problems(tables: Tables) -> Iterator[str]:
    """
    Yield each problem as ``path: explanation``.

    Parameters
    ----------
    tables : Tables
        Parsed tables.
    """
    yield from find_duplicates("$.routes", [route.name for route in tables.routes])
    yield from find_duplicates("$.pools", [pool.name for pool in tables.pools])
    names = [workspace.id for workspace in tables.workspaces]
    yield from find_duplicates("$.workspaces", names)
    endpoint_ids = [spec.id for pool in tables.pools for spec in pool.endpoints]
    yield from find_duplicates("$.pools[*].endpoints", endpoint_ids)
    pools = {pool.name: pool for pool in tables.pools}
    known = {workspace.id for workspace in tables.workspaces}
    for index, route in enumerate(tables.routes):
        yield from find_route_problems(f"$.routes[{index}]", route, pools, known)
    for index, pool in enumerate(tables.pools):
        yield from find_pool_problems(f"$.pools[{index}]", pool)
    yield from find_workspace_problems(tables.workspaces)


def find_duplicates(path: str, names: list) -> Iterator[str]:
    """
    Yield a problem for each repeated or empty name.

    Examples
    --------
    >>> list(find_duplicates("$.pools", ["a", "b", "a"]))
    ["$.pools: 'a' is defined twice"]
    """
    seen = set()
    for name in names:
        if name in seen:
            yield f"{path}: {name!r} is defined twice"
        if not name:
            yield f"{path}: a name is empty"
        seen.add(name)
