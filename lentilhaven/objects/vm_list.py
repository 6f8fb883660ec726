"""The platform's list of VMs, as a whole."""

import attrs

from lentilhaven.objects.vm import ListedVm


@attrs.frozen
class VmList:
    """
    All VMs that the platform knows.

    Attributes
    ----------
    version : int
        Rises with every change of the list; 0 before the first answer.
    vms : list of ListedVm
        In any order.
    """

    version: int = 0
    vms: list[ListedVm] = attrs.field(factory=list)
