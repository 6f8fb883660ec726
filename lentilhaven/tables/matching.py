"""Finds the route that answers a request."""

import random

import attrs

from lentilhaven.core.ids import ModelName, ModelVersion, WorkspaceId
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables


@attrs.frozen
class RequestTraits:
    """
    What a route is matched against.

    Attributes
    ----------
    workspace : str
        Who asks.
    method : str
        HTTP method.
    path : str
        Path below the route's name; empty for completions.
    model : str
        Model named in a completion request; empty for plain services.
    priority : str
        Priority class.
    """

    workspace: WorkspaceId
    method: str = "POST"
    path: str = ""
    model: ModelName = ModelName("")
    priority: str = "normal"


def match_completion(tables: Tables, traits: RequestTraits) -> Route | None:
    """
    Return the first route of engines that answers a completion request.

    A route without a list of models answers the model of its pool.

    Parameters
    ----------
    tables : Tables
        Tables in force.
    traits : RequestTraits
        The request.
    """
    for route in tables.routes:
        pool = tables.pool(route.pool)
        if pool.kind is not PoolKind.ENGINE:
            continue
        models = route.match.models or [pool.model]
        if traits.model in models and matches_traits(route, traits):
            return route
    return None


def match_service(tables: Tables, name: str, traits: RequestTraits) -> Route | None:
    """
    Return the route of plain services called `name` if it answers a request.

    Parameters
    ----------
    tables : Tables
        Tables in force.
    name : str
        Name from the request's path.
    traits : RequestTraits
        The request.
    """
    for route in tables.routes:
        service = tables.pool(route.pool).kind is PoolKind.SERVICE
        if route.name == name and service and matches_traits(route, traits):
            return route
    return None


def matches_traits(route: Route, traits: RequestTraits) -> bool:
    """
    Return whether everything but the model matches.

    Examples
    --------
    >>> from lentilhaven.tables.route import RouteMatch
    >>> reads = Route("stock", "stock", RouteMatch(methods=["GET"]))
    >>> matches_traits(reads, RequestTraits("w", method="POST"))
    False
    """
    match = route.match
    if match.methods and traits.method not in match.methods:
        return False
    if match.workspaces and traits.workspace not in match.workspaces:
        return False
    if match.priorities and traits.priority not in match.priorities:
        return False
    if not match.paths:
        return True
    return any(path_has_prefix(traits.path, prefix) for prefix in match.paths)


def path_has_prefix(path: str, prefix: str) -> bool:
    """
    Return whether `prefix` covers whole segments of `path`.

    Examples
    --------
    >>> path_has_prefix("/items/7", "/items")
    True
    >>> path_has_prefix("/itemsets", "/items")
    False
    """
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")


def draw_version(route: Route, pool: Pool, random: random.Random) -> ModelVersion:
    """
    Draw the version that answers a request, in proportion to the weights.

    Parameters
    ----------
    route : Route
        The route; without weights, the newest version of its pool answers.
    pool : Pool
        The route's pool.
    random : random.Random
        Source of chance.
    """
    weights = {name: weight for name, weight in route.versions.items() if weight > 0}
    if weights:
        return random.choices(list(weights), list(weights.values()))[0]
    return max((spec.version for spec in pool.endpoints), default=ModelVersion(""))
