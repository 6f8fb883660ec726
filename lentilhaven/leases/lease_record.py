"""The stored form of a lease."""

import attrs

from lentilhaven.core.ids import VmId


@attrs.frozen
class LeaseRecord:
    """
    The content of a lease object.

    Attributes
    ----------
    vm : str
        The VM that holds the lease; empty after a release.
    run : str
        Unique id of the process that holds the lease; a process that restarts
        at the same address is another holder.  Empty after a release.
    fence : int
        Fencing number; every takeover increments it.
    renewal : int
        Number of renewals since the takeover.
    """

    vm: VmId
    run: str
    fence: int
    renewal: int = 0
