"""Message with the tables and the list of VMs that an agent holds."""

import attrs

from lentilhaven.distribution.table_head import TableHead
from lentilhaven.objects.vm_list import VmList


@attrs.frozen
class PeerState:
    """
    Response to a long poll of another agent.

    Attributes
    ----------
    ready : bool
        Whether the responding agent serves its tables.
    version : int
        Version of the tables that the responding agent holds.
    head : TableHead or None
        Its head, if newer than that of the polling agent.
    vms : VmList or None
        Its list of VMs, if newer than that of the polling agent.
    """

    ready: bool
    version: int
    head: TableHead | None = None
    vms: VmList | None = None
