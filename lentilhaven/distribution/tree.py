"""Tree over which tables are distributed within a data centre."""

from lentilhaven.core.ids import DataCentre, VmId
from lentilhaven.membership.rendezvous import rank_members

#: Number of VMs in each data centre that watch the store.
WATCHERS_PER_DATA_CENTRE = 2

#: Maximum number of children of a VM in the tree.
MAX_CHILDREN = 4


def watch_key(data_centre: DataCentre) -> str:
    """Return the rendezvous key by which watchers of the store are chosen."""
    return f"watch/{data_centre}"


def find_parent(own: VmId, data_centre: DataCentre, live: list[VmId]) -> VmId | None:
    """
    Return the VM to poll; None for a VM that watches the store.

    The live VMs form a tree by rank, so that the number of VMs that poll the
    same one is bounded, however many VMs there are.

    Parameters
    ----------
    own : str
        VM whose parent is returned.
    data_centre : str
        Data centre of this VM.
    live : list of str
        Live VMs of this data centre.

    Examples
    --------
    >>> live = [f"vm-{i}" for i in range(30)]
    >>> parents = [find_parent(vm, "ruwi", live) for vm in live]
    >>> parents.count(None), max(parents.count(vm) for vm in live)
    (2, 4)
    """
    ranked = rank_members(watch_key(data_centre), live)
    if own not in ranked:
        # A VM that is not live, for example because it leaves, is not in the tree.
        return ranked[0] if ranked else None
    index = ranked.index(own)
    return (
        None
        if index < WATCHERS_PER_DATA_CENTRE
        else ranked[(index - WATCHERS_PER_DATA_CENTRE) // MAX_CHILDREN]
    )
