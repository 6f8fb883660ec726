"""A lease as it stands in the store."""

import attrs

from lentilhaven.core.ids import VmId


@attrs.frozen
class LeaseRecord:
    """
    The content of a lease's object.

    Attributes
    ----------
    vm : str
        The VM that holds it; empty when it was given back.
    run : str
        Unique id of the process that holds it; a process that restarts at the
        same address is another holder.
    fence : int
        Fencing number; raised by each take-over.
    renewal : int
        Number of this write within the hold.
    """

    vm: VmId
    run: str
    fence: int
    renewal: int = 0
