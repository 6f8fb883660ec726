"""The VMs of the system, as one of them sees them."""

import attrs

from lentilhaven.core.ids import DataCentre, VmId
from lentilhaven.core.signal import Signal
from lentilhaven.membership.rendezvous import choose_owners
from lentilhaven.membership.ring import find_monitors
from lentilhaven.objects.vm import ListedVm, VmState
from lentilhaven.objects.vm_list import VmList

#: Monitors that must miss a VM before it is suspected.
VOTES_TO_SUSPECT = 2


@attrs.define
class Members:
    """
    The platform's list and what is known beyond it.

    Attributes
    ----------
    own : str
        This VM.
    data_centre : str
        Where it stands.
    vm_list : VmList
        The newest list of the platform.
    votes : dict
        Incarnations missed, by VM and by the monitor that misses it.
    incarnations : dict
        Newest incarnation known, by VM.
    leaving : set of str
        VMs that have said themselves that they leave.
    unreachable : set of str
        Data centres from which nothing arrives.
    heard : set of str
        Data centres from which something has arrived since the start.
    changed : Signal
        Notified when any of this changes.
    monitors : dict
        Monitors of each listed VM.
    cached_live : list of ListedVm or None
        What `live` has found since the last change.
    """

    own: VmId
    data_centre: DataCentre
    vm_list: VmList = attrs.field(factory=VmList)
    votes: dict[VmId, dict[VmId, int]] = attrs.field(factory=dict)
    incarnations: dict[VmId, int] = attrs.field(factory=dict)
    leaving: set[VmId] = attrs.field(factory=set)
    unreachable: set[DataCentre] = attrs.field(factory=set)
    heard: set[DataCentre] = attrs.field(factory=set)
    changed: Signal = attrs.field(factory=Signal)
    monitors: dict[VmId, list[VmId]] = attrs.field(factory=dict)
    cached_live: list[ListedVm] | None = None

    def touch(self) -> None:
        """Note that something has changed."""
        self.cached_live = None
        self.changed.notify()

    def adopt_list(self, vm_list: VmList) -> bool:
        """
        Take over a newer list; return whether it is newer.

        Parameters
        ----------
        vm_list : VmList
            From the platform or from another VM.
        """
        if vm_list.version <= self.vm_list.version:
            return False
        self.vm_list = vm_list
        self.monitors = find_monitors(vm_list.vms)
        known = {vm.id for vm in vm_list.vms}
        self.incarnations = {
            vm: number for vm, number in self.incarnations.items() if vm in known
        }
        self.touch()
        return True

    def note_incarnation(self, vm: VmId, incarnation: int) -> None:
        """
        Remember the newest incarnation of a VM.

        Parameters
        ----------
        vm : str
            The VM.
        incarnation : int
            What it or another VM has told.
        """
        if incarnation > self.incarnations.get(vm, 0):
            self.incarnations[vm] = incarnation
            self.touch()

    def suspected(self, vm: VmId) -> bool:
        """
        Return whether enough monitors miss a VM in its present incarnation.

        Parameters
        ----------
        vm : str
            The VM.
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
        """Return the VMs that may own duties, in order of name."""
        if self.cached_live is None:
            live = (vm for vm in self.vm_list.vms if self.is_live(vm))
            self.cached_live = sorted(live, key=lambda vm: vm.id)
        return self.cached_live

    def is_live(self, vm: ListedVm) -> bool:
        """Return whether a listed VM may own duties."""
        if vm.state is not VmState.LIVE or vm.id in self.leaving:
            return False
        cut_off = vm.data_centre in self.unreachable
        return not cut_off and not self.suspected(vm.id)

    def live_ids(self, data_centre: DataCentre | None = None) -> list[VmId]:
        """
        Return the names of live VMs, of one data centre or of all.

        Parameters
        ----------
        data_centre : str or None
            Restricts the VMs.
        """
        return [
            vm.id
            for vm in self.live()
            if data_centre is None or vm.data_centre == data_centre
        ]

    def peers(self, data_centre: DataCentre | None = None) -> list[ListedVm]:
        """
        Return the other VMs that may be asked, of one data centre or of all.

        Parameters
        ----------
        data_centre : str or None
            Restricts the VMs.
        """
        return [
            vm
            for vm in self.live()
            if vm.id != self.own
            and (data_centre is None or vm.data_centre == data_centre)
        ]

    def others(self) -> list[ListedVm]:
        """Return all other listed VMs, those that seem lost included."""
        return [vm for vm in self.vm_list.vms if vm.id != self.own]

    def find(self, vm: VmId) -> ListedVm | None:
        """Return a listed VM by name."""
        return next((it for it in self.vm_list.vms if it.id == vm), None)

    def owns(self, key: str, count: int, data_centre: DataCentre | None = None) -> bool:
        """
        Return whether this VM is one of the owners of a duty.

        A VM that sees no live VM takes the duty itself; duplicates are harmless.

        Parameters
        ----------
        key : str
            Name of the duty.
        count : int
            Number of owners.
        data_centre : str or None
            Restricts the owners.
        """
        candidates = self.live_ids(data_centre) or [self.own]
        return self.own in choose_owners(key, candidates, count)

    @property
    def own_state(self) -> VmState:
        """Return whether the platform or this VM itself says that it leaves."""
        listed = self.find(self.own)
        left = listed is not None and listed.state is VmState.LEAVING
        return VmState.LEAVING if left or self.own in self.leaving else VmState.LIVE
