"""The platform's list of VMs."""

import attrs

from lentilhaven.objects.vm import ListedVm


@attrs.frozen
class VmList:
    """
    All VMs that the platform lists.

    Attributes
    ----------
    version : int
        Increases with every change of the list; 0 before the first response.
    vms : list of ListedVm
        VMs in any order.
    """

    version: int = 0
    vms: list[ListedVm] = attrs.field(factory=list)
