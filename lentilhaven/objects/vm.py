"""The platform's list of VMs."""

import enum

import attrs

from lentilhaven.core.ids import DataCentre, VmId


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class ListedVm:
    """
    A VM in the platform's list, which lags behind the truth.

    Attributes
    ----------
    id : str
        The VM's name.
    address : str
        Base URL of its agent.
    data_centre : str
        Where it stands.
    state : VmState
        Live or leaving.
    """

    id: VmId
    address: str
    data_centre: DataCentre
    state: VmState = VmState.LIVE
