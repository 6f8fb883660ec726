"""Versioned configuration of routes, pools and workspaces."""

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
        Routes in order of precedence.
    pools : list of Pool
        Pools in any order.
    workspaces : list of Workspace
        Workspaces in any order.
    version : int
        Increases by one with every accepted edit; 0 before the first.
    """

    routes: list[Route] = attrs.field(factory=list)
    pools: list[Pool] = attrs.field(factory=list)
    workspaces: list[Workspace] = attrs.field(factory=list)
    version: int = 0

    def find_pool(self, name: PoolName) -> Pool:
        """
        Return the pool called `name`.

        Raises
        ------
        KeyError
            If no pool has this name, which `validate_tables` excludes for the
            pools of routes.
        """
        for pool in self.pools:
            if pool.name == name:
                return pool
        raise KeyError(name)
