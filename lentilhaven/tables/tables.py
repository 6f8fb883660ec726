"""The whole configuration."""

import attrs

from lentilhaven.core.ids import PoolName
from lentilhaven.tables.pool import Pool
from lentilhaven.tables.route import Route
from lentilhaven.tables.workspace import Workspace


@attrs.frozen
class Tables:
    """
    Routes, pools and workspaces under one version.

    Attributes
    ----------
    routes : list of Route
        In order of precedence.
    pools : list of Pool
        In any order.
    workspaces : list of Workspace
        In any order.
    version : int
        Rises by one with every accepted edit; 0 before the first.
    """

    routes: list[Route] = attrs.field(factory=list)
    pools: list[Pool] = attrs.field(factory=list)
    workspaces: list[Workspace] = attrs.field(factory=list)
    version: int = 0

    def pool(self, name: PoolName) -> Pool:
        """
        Return the pool called `name`.

        Raises
        ------
        KeyError
            If there is none; `validate_tables` rules that out for routes.
        """
        for pool in self.pools:
            if pool.name == name:
                return pool
        raise KeyError(name)
