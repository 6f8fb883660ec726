"""Workspaces, the customers that send requests."""

import attrs

from lentilhaven.core.ids import WorkspaceId


@attrs.frozen
class Workspace:
    """
    Customer with bearer tokens, a weight and limits.

    Attributes
    ----------
    id : str
        Unique name.
    token_hashes : list of str
        Hashes of the bearer tokens, as returned by
        `lentilhaven.core.hashing.token_hash`.
    weight : float
        Share of a saturated pool, relative to other workspaces.
    max_rate : float
        Maximum requests per second over all VMs; 0 for no limit.
    max_concurrency : int
        Maximum requests in flight over all VMs; 0 for no limit.
    priority : str
        Priority class of its requests.
    """

    id: WorkspaceId
    token_hashes: list[str]
    weight: float = 1.0
    max_rate: float = 0.0
    max_concurrency: int = 0
    priority: str = "normal"
