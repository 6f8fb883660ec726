"""
Checks within and across the tables.

Structure is checked by `lentilhaven.core.settings`; this module checks what
types cannot say: uniqueness, references and ranges.  Every problem is listed
with the path of the bad value, so that one pass of an operator mends them all.
"""

from collections.abc import Iterator

from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import parse_document
from lentilhaven.core.step import Step
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables


def parse_tables(text: str) -> Result[Tables, Failure]:
    """
    Read tables from JSON with comments and validate them.

    Parameters
    ----------
    text : str
        A document with the keys ``routes``, ``pools`` and ``workspaces``.

    Examples
    --------
    >>> parse_tables('{routes: [{name: "chat", pool: "big"}]}').error.detail
    "$.routes[0].pool: no pool is called 'big'"
    """
    return parse_document(text, Tables).bind(validate_tables)


def validate_tables(tables: Tables) -> Result[Tables, Failure]:
    """
    Return `tables`, or one failure that lists everything wrong in them.

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
    for index, route in enumerate(tables.routes):
        yield from find_route_problems(f"$.routes[{index}]", route, pools)
    for index, pool in enumerate(tables.pools):
        yield from find_pool_problems(f"$.pools[{index}]", pool)


def find_duplicates(path: str, names: list) -> Iterator[str]:
    """
    Yield a problem for each name that stands twice.

    Examples
    --------
    >>> list(find_duplicates("$.pools", ["a", "b", "a"]))
    ["$.pools: 'a' is defined twice"]
    """
    seen = set()
    for name in names:
        if name in seen:
            yield f"{path}: {name!r} is defined twice"
        seen.add(name)


def find_route_problems(path: str, route: Route, pools: dict) -> Iterator[str]:
    """
    Yield the problems of one route.

    Parameters
    ----------
    path : str
        Path of the route in the document.
    route : Route
        The route.
    pools : dict
        `Pool` by name.
    """
    if route.pool not in pools:
        yield f"{path}.pool: no pool is called {route.pool!r}"
        return
    if route.deadline <= 0:
        yield f"{path}.deadline: must be above 0, not {route.deadline}"
    if route.token_timeout <= 0:
        yield f"{path}.token_timeout: must be above 0, not {route.token_timeout}"
    if route.retry.max_attempts < 1:
        yield f"{path}.retry.max_attempts: must be at least 1"
    versions = {spec.version for spec in pools[route.pool].endpoints}
    for version, weight in route.versions.items():
        if weight < 0:
            yield f"{path}.versions[{version!r}]: must not be negative: {weight}"
        if weight > 0 and version not in versions:
            yield f"{path}.versions: pool {route.pool!r} has no version {version!r}"


def find_pool_problems(path: str, pool: Pool) -> Iterator[str]:
    """
    Yield the problems of one pool.

    Parameters
    ----------
    path : str
        Path of the pool in the document.
    pool : Pool
        The pool.
    """
    if pool.kind is PoolKind.SERVICE:
        return
    if pool.layer_count < 1:
        yield f"{path}.layer_count: must be at least 1, not {pool.layer_count}"
    for index, spec in enumerate(pool.endpoints):
        place = f"{path}.endpoints[{index}]"
        if spec.layers is None:
            yield f"{place}.layers: required in a pool of engines"
        elif spec.layers.stop > pool.layer_count:
            yield f"{place}.layers: ends after layer {pool.layer_count}"
        if spec.accelerator and spec.accelerator not in pool.accelerators:
            yield f"{place}.accelerator: unknown kind {spec.accelerator!r}"
