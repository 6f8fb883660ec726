"""Selection of the route that answers a request."""

import random

import attrs

from lentilhaven.core.ids import ModelName, ModelVersion, WorkspaceId
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables


@attrs.frozen
class RequestTraits:
    """
    Properties of a request that routes are matched against.

    Attributes
    ----------
    workspace : str
        Workspace that sends the request.
    method : str
        HTTP method.
    path : str
        Path after the route's name; empty for completions.
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
    Return the first route to model engines that matches a completion request.

    A route without a list of models matches the model of its pool.

    Parameters
    ----------
    tables : Tables
        Active tables.
    traits : RequestTraits
        Properties of the request.
    """
    for route in tables.routes:
        pool = tables.find_pool(route.pool)
        if pool.kind is not PoolKind.ENGINE:
            continue
        models = route.match.models or [pool.model]
        if traits.model in models and matches_traits(route, traits):
            return route
    return None


def match_service(tables: Tables, name: str, traits: RequestTraits) -> Route | None:
    """
    Return the route to plain services called `name` if it matches a request.

    Parameters
    ----------
    tables : Tables
        Active tables.
    name : str
        Name of the route, from the request's path.
    traits : RequestTraits
        Properties of the request.
    """
    for route in tables.routes:
        is_service = tables.find_pool(route.pool).kind is PoolKind.SERVICE
        if route.name == name and is_service and matches_traits(route, traits):
            return route
    return None


def matches_traits(route: Route, traits: RequestTraits) -> bool:
    """
    Return whether a request meets all conditions of a route except the model.

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
    Return whether `path` starts with the segments of `prefix`.

    Examples
    --------
    >>> path_has_prefix("/items/7", "/items")
    True
    >>> path_has_prefix("/itemsets", "/items")
    False
    """
    trimmed = prefix.rstrip("/")
    return path == trimmed or path.startswith(trimmed + "/")


def draw_version(route: Route, pool: Pool, rng: random.Random) -> ModelVersion:
    """
    Choose a model version at random, in proportion to the route's weights.

    Parameters
    ----------
    route : Route
        Route of the request.  If it has no weight above 0, the newest version in
        the pool is chosen: the greatest one in the order of strings.
    pool : Pool
        Pool of the route.
    rng : random.Random
        Random number generator.
    """
    weights = {name: weight for name, weight in route.versions.items() if weight > 0}
    if weights:
        return rng.choices(list(weights), list(weights.values()))[0]
    return max((spec.version for spec in pool.endpoints), default=ModelVersion(""))
