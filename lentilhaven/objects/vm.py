"""Entries of the platform's list of VMs."""

import enum

import attrs

from lentilhaven.core.ids import DataCentre, VmId


class VmState(enum.Enum):
    """State of a VM according to the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedVm:
    """
    VM in the platform's list, which may be out of date.

    Attributes
    ----------
    id : str
        Unique name.
    address : str
        Base URL of its agent.
    data_centre : str
        Data centre of the VM.
    state : VmState
        Whether the VM is live or leaving.
    """

    id: VmId
    address: str
    data_centre: DataCentre
    state: VmState = VmState.LIVE
