"""Assignment of monitors, which send heartbeats, to VMs."""

import xxhash

from lentilhaven.core.ids import VmId
from lentilhaven.objects.vm import ListedVm

#: Number of monitors of a VM in its own data centre.
LOCAL_MONITORS = 2

#: Number of monitors of a VM in other data centres.
REMOTE_MONITORS = 1


def find_monitors(vms: list[ListedVm]) -> dict[VmId, list[VmId]]:
    """
    Return the monitors of each VM: some of its successors on a hash ring.

    When a VM joins or leaves, the monitors of another VM change only if the first is
    among the next `LOCAL_MONITORS` VMs of the other's data centre, among the next
    `REMOTE_MONITORS` VMs of other data centres, or takes the place of a missing one.

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

    If there are too few VMs in its own data centre or in the others, further VMs
    of the other group take their place.

    Parameters
    ----------
    vm : ListedVm
        VM to be monitored.
    successors : list of ListedVm
        All other VMs, in the order of the ring.
    """
    local: list[VmId] = []
    remote: list[VmId] = []
    for other in successors:
        group = local if other.data_centre == vm.data_centre else remote
        group.append(other.id)
        if len(local) >= LOCAL_MONITORS and len(remote) >= REMOTE_MONITORS:
            break
    chosen = local[:LOCAL_MONITORS] + remote[:REMOTE_MONITORS]
    fallback = local[LOCAL_MONITORS:] + remote[REMOTE_MONITORS:]
    return (chosen + fallback)[: LOCAL_MONITORS + REMOTE_MONITORS]
