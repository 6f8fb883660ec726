"""Message with the table head and the list of VMs that an agent holds."""

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
        Head that the responding agent holds, if newer than the polling agent's.
    vms : VmList or None
        List of VMs that the responding agent holds, if newer than the polling
        agent's.
    """

    ready: bool
    version: int
    head: TableHead | None = None
    vms: VmList | None = None
