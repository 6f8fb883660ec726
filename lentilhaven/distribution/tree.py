"""Who learns the tables from whom, within a data centre."""

from lentilhaven.core.ids import DataCentre, VmId
from lentilhaven.membership.rendezvous import rank_members

#: VMs in each data centre that watch the store.
WATCHERS = 2

#: VMs that learn from one other.
CHILDREN = 4


def watch_key(data_centre: DataCentre) -> str:
    """Return the name of the duty of watching the store."""
    return f"watch/{data_centre}"


def find_parent(own: VmId, data_centre: DataCentre, live: list[VmId]) -> VmId | None:
    """
    Return the VM to learn from; None for a VM that watches the store.

    The live VMs form a tree by rank, so that no VM serves more than a few
    others, however many there are.

    Parameters
    ----------
    own : str
        The VM that asks.
    data_centre : str
        Where it stands.
    live : list of str
        Live VMs of its data centre.

    Examples
    --------
    >>> live = [f"vm-{i}" for i in range(30)]
    >>> parents = [find_parent(vm, "ruwi", live) for vm in live]
    >>> parents.count(None), max(parents.count(vm) for vm in live)
    (2, 4)
    """
    ranked = rank_members(watch_key(data_centre), live)
    if own not in ranked:
        return ranked[0] if ranked else None
    index = ranked.index(own)
    return None if index < WATCHERS else ranked[(index - WATCHERS) // CHILDREN]
