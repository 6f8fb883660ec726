"""Index for constant-time lookups in tables with many workspaces and routes."""

import hmac

import attrs

from lentilhaven.core.ids import ModelName, PoolName, RouteName
from lentilhaven.tables.matching import RequestTraits, matches_traits
from lentilhaven.tables.pool import Pool, PoolKind
from lentilhaven.tables.route import Route
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.workspace import Workspace


@attrs.frozen
class TableIndex:
    """
    Tables and dictionaries of their entries, built once per version.

    Attributes
    ----------
    tables : Tables
        Indexed tables.
    pools : dict
        `Pool` by name.
    service_routes : dict
        `Route` to plain services by name.
    engine_routes : dict
        Lists of `Route` to model engines by model, in order of precedence.
    workspaces : dict
        `Workspace` by the hash of each of its tokens.
    """

    tables: Tables
    pools: dict[PoolName, Pool]
    service_routes: dict[RouteName, Route]
    engine_routes: dict[ModelName, list[Route]]
    workspaces: dict[str, Workspace]

    def find_workspace(self, token_hash: str) -> Workspace | None:
        """
        Return the workspace of a token, or None.

        The duration of the dictionary lookup depends only on a hash of the token's
        hash, from which no token can be derived.  The final comparison takes constant
        time.

        Parameters
        ----------
        token_hash : str
            Hash of the token, as returned by `lentilhaven.core.hashing.token_hash`.
        """
        workspace = self.workspaces.get(token_hash)
        if workspace is None:
            return None
        presented = token_hash.encode()
        known = [it.encode() for it in workspace.token_hashes]
        matches = [hmac.compare_digest(presented, it) for it in known]
        return workspace if any(matches) else None

    def match_completion(self, traits: RequestTraits) -> Route | None:
        """
        Return the first route to model engines that matches a completion request.

        Parameters
        ----------
        traits : RequestTraits
            Properties of the request.
        """
        for route in self.engine_routes.get(traits.model, []):
            if matches_traits(route, traits):
                return route
        return None

    def match_service(self, name: str, traits: RequestTraits) -> Route | None:
        """
        Return the route to plain services called `name` if it matches a request.

        Parameters
        ----------
        name : str
            Name of the route, from the request's path.
        traits : RequestTraits
            Properties of the request.
        """
        route = self.service_routes.get(RouteName(name))
        matches = route is not None and matches_traits(route, traits)
        return route if matches else None


def index_tables(tables: Tables) -> TableIndex:
    """
    Build the index of valid tables.

    Parameters
    ----------
    tables : Tables
        Tables that `validate_tables` has accepted.

    Examples
    --------
    >>> from lentilhaven.core.ids import WorkspaceId
    >>> depot = Workspace(WorkspaceId("depot"), ["sha256:00"])
    >>> index = index_tables(Tables(workspaces=[depot]))
    >>> index.find_workspace("sha256:00").id, index.find_workspace("sha256:01")
    ('depot', None)
    """
    pools = {pool.name: pool for pool in tables.pools}
    service_routes = {}
    engine_routes: dict[ModelName, list[Route]] = {}
    for route in tables.routes:
        pool = pools[route.pool]
        if pool.kind is PoolKind.SERVICE:
            service_routes[route.name] = route
            continue
        for model in route.match.models or [pool.model]:
            engine_routes.setdefault(model, []).append(route)
    workspaces = {
        token_hash: workspace
        for workspace in tables.workspaces
        for token_hash in workspace.token_hashes
    }
    return TableIndex(tables, pools, service_routes, engine_routes, workspaces)
