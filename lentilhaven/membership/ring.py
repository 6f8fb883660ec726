"""Which VMs send heartbeats to which."""

import xxhash

from lentilhaven.core.ids import VmId
from lentilhaven.objects.vm import ListedVm

#: Monitors of a VM in its own data centre.
NEAR_MONITORS = 2

#: Monitors of a VM in other data centres.
FAR_MONITORS = 1


def find_monitors(vms: list[ListedVm]) -> dict[VmId, list[VmId]]:
    """
    Return the monitors of each VM: its successors on a ring of hashes.

    When a VM comes or goes, only the monitors of its neighbours change.

    Parameters
    ----------
    vms : list of ListedVm
        All VMs.

    Examples
    --------
    >>> vms = [ListedVm(f"vm-{i}", "", "ab"[i % 2]) for i in range(8)]
    >>> {len(monitors) for monitors in find_monitors(vms).values()}
    {3}
    """
    ring = sorted(vms, key=lambda vm: (xxhash.xxh3_64_intdigest(vm.id.encode()), vm.id))
    return {
        vm.id: choose_monitors(vm, ring[index + 1 :] + ring[:index])
        for index, vm in enumerate(ring)
    }


def choose_monitors(vm: ListedVm, successors: list[ListedVm]) -> list[VmId]:
    """
    Return the monitors of one VM.

    Parameters
    ----------
    vm : ListedVm
        The VM.
    successors : list of ListedVm
        All others, in the order of the ring.
    """
    near: list[VmId] = []
    far: list[VmId] = []
    for other in successors:
        side = near if other.data_centre == vm.data_centre else far
        side.append(other.id)
        if len(near) >= NEAR_MONITORS and len(far) >= FAR_MONITORS:
            break
    chosen = near[:NEAR_MONITORS] + far[:FAR_MONITORS]
    rest = near[NEAR_MONITORS:] + far[FAR_MONITORS:]
    return (chosen + rest)[: NEAR_MONITORS + FAR_MONITORS]
