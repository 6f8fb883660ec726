"""
Which VM commits a shard: rendezvous hashing over the live VMs.

Ownership only saves writes.  Two VMs that both believe that they own a shard
are kept apart by the conditional update.

References
----------
D. G. Thaler and C. V. Ravishankar, "Using name-based mappings to increase hit
rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

import xxhash

from lentilhaven.core.ids import VmId


def owners(shard: str, vms: Iterable[VmId]) -> list[VmId]:
    """
    Return the VMs in the order in which they should commit a shard.

    Parameters
    ----------
    shard : str
        The shard.
    vms : iterable of str
        Live VMs.

    Examples
    --------
    >>> first = owners("t1", ["a", "b", "c"])
    >>> [vm for vm in owners("t1", ["a", "b", "c", "d"]) if vm != "d"] == first
    True
    """

    def weight(vm: VmId) -> tuple[int, VmId]:
        return xxhash.xxh3_64_intdigest(f"{shard}\n{vm}".encode()), vm

    return sorted(vms, key=weight, reverse=True)
