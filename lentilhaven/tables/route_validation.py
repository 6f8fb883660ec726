"""Validation of one route."""

from collections.abc import Iterator

from lentilhaven.tables.numbers import find_number_problems
from lentilhaven.tables.policy_names import ADMISSION_POLICY_NAMES, PATH_POLICY_NAMES
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Policies, Route

#: HTTP methods of RFC 9110 and RFC 5789 that a route may list.
HTTP_METHODS = ("GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH")


def find_route_problems(
    path: str, route: Route, pools: dict, workspaces: set
) -> Iterator[str]:
    """
    Yield the problems of one route.

    Parameters
    ----------
    path : str
        Path of the route in the document.
    route : Route
        Route to check.
    pools : dict
        `Pool` by name.
    workspaces : set of str
        Ids of all workspaces.
    """
    yield from find_value_problems(path, route)
    yield from find_match_problems(path, route, workspaces)
    if route.pool not in pools:
        yield f"{path}.pool: no pool is called {route.pool!r}"
        return
    yield from find_version_problems(path, route, pools[route.pool])
    yield from find_kind_problems(path, route, pools[route.pool])


def find_value_problems(path: str, route: Route) -> Iterator[str]:
    """Yield the problems of a route's name, numbers, policies and methods."""
    yield from find_number_problems(f"{path}.deadline", route.deadline, above=0)
    yield from find_number_problems(
        f"{path}.token_timeout", route.token_timeout, above=0
    )
    attempts = route.retry.max_attempts
    yield from find_number_problems(f"{path}.retry.max_attempts", attempts, at_least=1)
    yield from find_number_problems(
        f"{path}.retry.budget", route.retry.budget, at_least=0
    )
    yield from find_policy_problems(f"{path}.policies", route.policies)
    for index, method in enumerate(route.idempotent_methods):
        if method not in HTTP_METHODS:
            yield f"{path}.idempotent_methods[{index}]: unknown HTTP method {method!r}"
    if "/" in route.name:
        yield f"{path}.name: must be one path segment, not {route.name!r}"


def find_policy_problems(path: str, policies: Policies) -> Iterator[str]:
    """
    Yield the problems of a route's policies.

    Examples
    --------
    >>> list(find_policy_problems("$.policies", Policies(admission="lifo")))
    ["$.policies.admission: must be 'deadline' or 'first-come', not 'lifo'"]
    """
    choices = (
        ("path", policies.path, PATH_POLICY_NAMES),
        ("admission", policies.admission, ADMISSION_POLICY_NAMES),
    )
    for name, chosen, known in choices:
        if chosen not in known:
            listed = " or ".join(repr(policy) for policy in known)
            yield f"{path}.{name}: must be {listed}, not {chosen!r}"


def find_match_problems(path: str, route: Route, workspaces: set) -> Iterator[str]:
    """Yield the problems of the conditions that a route sets for requests."""
    for index, method in enumerate(route.match.methods):
        if method not in HTTP_METHODS:
            yield f"{path}.match.methods[{index}]: unknown HTTP method {method!r}"
    for index, name in enumerate(route.match.workspaces):
        if name not in workspaces:
            yield f"{path}.match.workspaces[{index}]: no workspace is called {name!r}"
    for index, prefix in enumerate(route.match.paths):
        if not prefix.startswith("/"):
            yield f"{path}.match.paths[{index}]: must start with '/', not {prefix!r}"


def find_version_problems(path: str, route: Route, pool: Pool) -> Iterator[str]:
    """Yield the problems of the weights of a route's model versions."""
    versions = {spec.version for spec in pool.endpoints}
    for version, weight in route.versions.items():
        version_path = f"{path}.versions[{version!r}]"
        yield from find_number_problems(version_path, weight, at_least=0)
        if weight > 0 and version not in versions:
            yield f"{version_path}: pool {pool.name!r} has no such model version"
    if route.versions and not any(weight > 0 for weight in route.versions.values()):
        yield f"{path}.versions: at least one weight must be above 0"


def find_kind_problems(path: str, route: Route, pool: Pool) -> Iterator[str]:
    """Yield a problem for each value that the kind of the pool does not allow."""
    if pool.kind is PoolKind.SERVICE and route.versions:
        yield f"{path}.versions: not allowed for pool {pool.name!r} of plain services"
    if pool.kind is PoolKind.SERVICE and route.match.models:
        yield (
            f"{path}.match.models: not allowed for pool {pool.name!r} of plain services"
        )
    if pool.kind is PoolKind.ENGINE and route.match.paths:
        yield f"{path}.match.paths: not allowed for pool {pool.name!r} of model engines"
    for index, model in enumerate(route.match.models):
        if pool.kind is PoolKind.ENGINE and not model:
            yield f"{path}.match.models[{index}]: must not be empty"
