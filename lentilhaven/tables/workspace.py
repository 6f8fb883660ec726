"""Workspaces: the customers that send requests."""

import attrs

from lentilhaven.core.ids import WorkspaceId


@attrs.frozen
class Workspace:
    """
    A customer with tokens, a share and limits.

    Attributes
    ----------
    id : str
        Unique name.
    token_hashes : list of str
        Hashes of its bearer tokens, as `lentilhaven.core.hashing.token_hash`
        makes them.
    weight : float
        Its share when the pools are full, relative to other workspaces.
    max_rate : float
        Requests per second over all VMs; 0 for no limit.
    max_concurrency : int
        Requests in flight over all VMs; 0 for no limit.
    priority : str
        Priority class of its requests.
    """

    id: WorkspaceId
    token_hashes: list[str]
    weight: float = 1.0
    max_rate: float = 0.0
    max_concurrency: int = 0
    priority: str = "normal"
