"""State of the VMs of the system as seen by one of them."""

import attrs

from lentilhaven.core.ids import DataCentre, VmId
from lentilhaven.core.signal import Signal
from lentilhaven.membership.rendezvous import choose_owners
from lentilhaven.membership.ring import find_monitors
from lentilhaven.objects.vm import ListedVm, VmState
from lentilhaven.objects.vm_list import VmList

#: Number of monitors that must vote against a VM before it is suspected; all of them
#: if it has fewer.
VOTES_TO_SUSPECT = 2


@attrs.define
class Members:
    """
    The platform's list of VMs and their observed state.

    Attributes
    ----------
    own : str
        Id of this VM.
    data_centre : str
        Data centre of this VM.
    vm_list : VmList
        Newest known list of the platform.
    votes : dict
        Incarnation that each monitor suspects, by VM and by monitor.
    incarnations : dict
        Newest incarnation known, by VM.
    leaving : set of str
        VMs that have announced that they leave.
    unreachable : set of str
        Data centres whose summaries no longer arrive.
    seen_data_centres : set of str
        Data centres whose summaries have arrived since the start.
    changed : Signal
        Notified when any of these attributes changes.
    monitors : dict
        Ids of the monitors of each listed VM, by VM.
    cached_live : list of ListedVm or None
        Result of `live`; None after a change.
    """

    own: VmId
    data_centre: DataCentre
    vm_list: VmList = attrs.field(factory=VmList)
    votes: dict[VmId, dict[VmId, int]] = attrs.field(factory=dict)
    incarnations: dict[VmId, int] = attrs.field(factory=dict)
    leaving: set[VmId] = attrs.field(factory=set)
    unreachable: set[DataCentre] = attrs.field(factory=set)
    seen_data_centres: set[DataCentre] = attrs.field(factory=set)
    changed: Signal = attrs.field(factory=Signal)
    monitors: dict[VmId, list[VmId]] = attrs.field(factory=dict)
    cached_live: list[ListedVm] | None = None

    def notify_changed(self) -> None:
        """Invalidate the cached live VMs and notify the waiting tasks."""
        self.cached_live = None
        self.changed.notify()

    def adopt_list(self, vm_list: VmList) -> bool:
        """
        Adopt a list of VMs if it is newer; return whether it is.

        Parameters
        ----------
        vm_list : VmList
            List from the platform or from another VM.
        """
        if vm_list.version <= self.vm_list.version:
            return False
        self.vm_list = vm_list
        self.monitors = find_monitors(vm_list.vms)
        known = {vm.id for vm in vm_list.vms}
        self.incarnations = {
            vm: number for vm, number in self.incarnations.items() if vm in known
        }
        self.notify_changed()
        return True

    def record_incarnation(self, vm: VmId, incarnation: int) -> None:
        """
        Record the incarnation of a VM if it is newer.

        Parameters
        ----------
        vm : str
            Id of the VM.
        incarnation : int
            Incarnation that this VM or another one has reported.
        """
        if incarnation > self.incarnations.get(vm, 0):
            self.incarnations[vm] = incarnation
            self.notify_changed()

    def is_suspected(self, vm: VmId) -> bool:
        """
        Return whether enough monitors suspect a VM in its current incarnation.

        Parameters
        ----------
        vm : str
            Id of the VM.
        """
        if vm == self.own:
            return False
        monitors = self.monitors.get(vm, [])
        known = self.incarnations.get(vm, 0)
        votes = self.votes.get(vm, {})
        missing = [it for it in monitors if it in votes and votes[it] >= known]
        needed = min(VOTES_TO_SUSPECT, len(monitors))
        return needed > 0 and len(missing) >= needed

    def live(self) -> list[ListedVm]:
        """Return the VMs that may own keys, ordered by id."""
        if self.cached_live is None:
            live = (vm for vm in self.vm_list.vms if self.is_live(vm))
            self.cached_live = sorted(live, key=lambda vm: vm.id)
        return self.cached_live

    def is_live(self, vm: ListedVm) -> bool:
        """Return whether a listed VM may own keys."""
        if vm.state is not VmState.LIVE or vm.id in self.leaving:
            return False
        cut_off = vm.data_centre in self.unreachable
        return not cut_off and not self.is_suspected(vm.id)

    def live_ids(self, data_centre: DataCentre | None = None) -> list[VmId]:
        """
        Return the ids of the live VMs of one data centre or of all.

        Parameters
        ----------
        data_centre : str or None
            Data centre of the VMs; None for all.
        """
        return [
            vm.id
            for vm in self.live()
            if data_centre is None or vm.data_centre == data_centre
        ]

    def peers(self, data_centre: DataCentre | None = None) -> list[ListedVm]:
        """
        Return the other live VMs of one data centre or of all.

        Parameters
        ----------
        data_centre : str or None
            Data centre of the VMs; None for all.
        """
        return [
            vm
            for vm in self.live()
            if vm.id != self.own
            and (data_centre is None or vm.data_centre == data_centre)
        ]

    def listed_peers(self) -> list[ListedVm]:
        """Return all other listed VMs, including those that are not live."""
        return [vm for vm in self.vm_list.vms if vm.id != self.own]

    def find(self, vm: VmId) -> ListedVm | None:
        """Return the listed VM with an id; None if it is not listed."""
        return next((it for it in self.vm_list.vms if it.id == vm), None)

    def owns(self, key: str, count: int, data_centre: DataCentre | None = None) -> bool:
        """
        Return whether this VM is one of the owners of a key.

        A VM that sees no live VM owns every key; duplicate owners are harmless.

        Parameters
        ----------
        key : str
            Key of the task.
        count : int
            Number of owners.
        data_centre : str or None
            Data centre of the owners; None for any.
        """
        candidates = self.live_ids(data_centre) or [self.own]
        return self.own in choose_owners(key, candidates, count)

    @property
    def own_state(self) -> VmState:
        """Return `LEAVING` if the list or this VM itself says that it leaves."""
        listed = self.find(self.own)
        left = listed is not None and listed.state is VmState.LEAVING
        return VmState.LEAVING if left or self.own in self.leaving else VmState.LIVE
