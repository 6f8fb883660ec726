"""Lookups in constant time over tables of many workspaces and routes."""

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
    Tables with dictionaries over them, made once for each version.

    Attributes
    ----------
    tables : Tables
        The tables.
    pools : dict
        `Pool` by name.
    services : dict
        Routes of plain services by name.
    completions : dict
        Routes of engines by model, in order of precedence.
    workspaces : dict
        `Workspace` by the hash of each of its tokens.
    """

    tables: Tables
    pools: dict[PoolName, Pool]
    services: dict[RouteName, Route]
    completions: dict[ModelName, list[Route]]
    workspaces: dict[str, Workspace]

    def find_workspace(self, token_hash: str) -> Workspace | None:
        """
        Return the workspace that holds a token.

        The time of a dictionary lookup depends on the hash of the hash of the
        token, from which nobody can work towards a token; the final comparison
        takes constant time.

        Parameters
        ----------
        token_hash : str
            As `lentilhaven.core.hashing.token_hash` makes it.
        """
        workspace = self.workspaces.get(token_hash)
        if workspace is None:
            return None
        shown = token_hash.encode()
        known = [it.encode() for it in workspace.token_hashes]
        matches = [hmac.compare_digest(shown, it) for it in known]
        return workspace if any(matches) else None

    def match_completion(self, traits: RequestTraits) -> Route | None:
        """
        Return the first route of engines that answers a completion request.

        Parameters
        ----------
        traits : RequestTraits
            The request.
        """
        for route in self.completions.get(traits.model, []):
            if matches_traits(route, traits):
                return route
        return None

    def match_service(self, name: str, traits: RequestTraits) -> Route | None:
        """
        Return the route of plain services called `name` if it answers a request.

        Parameters
        ----------
        name : str
            Name from the request's path.
        traits : RequestTraits
            The request.
        """
        route = self.services.get(RouteName(name))
        matches = route is not None and matches_traits(route, traits)
        return route if matches else None


def index_tables(tables: Tables) -> TableIndex:
    """
    Build the index of some valid tables.

    Parameters
    ----------
    tables : Tables
        Valid tables.

    Examples
    --------
    >>> from lentilhaven.core.ids import WorkspaceId
    >>> depot = Workspace(WorkspaceId("depot"), ["sha256:00"])
    >>> index = index_tables(Tables(workspaces=[depot]))
    >>> index.find_workspace("sha256:00").id, index.find_workspace("sha256:01")
    ('depot', None)
    """
    pools = {pool.name: pool for pool in tables.pools}
    services = {}
    completions: dict[ModelName, list[Route]] = {}
    for route in tables.routes:
        pool = pools[route.pool]
        if pool.kind is PoolKind.SERVICE:
            services[route.name] = route
            continue
        for model in route.match.models or [pool.model]:
            completions.setdefault(model, []).append(route)
    workspaces = {
        known: workspace
        for workspace in tables.workspaces
        for known in workspace.token_hashes
    }
    return TableIndex(tables, pools, services, completions, workspaces)
