"""What agents tell each other of tables and of the platform's list."""

import attrs

from lentilhaven.distribution.table_head import TableHead
from lentilhaven.objects.vm_list import VmList


@attrs.frozen
class PeerState:
    """
    The answer to a long poll.

    Attributes
    ----------
    ready : bool
        Whether the answering agent serves its tables.
    version : int
        Version of the tables that it holds.
    head : TableHead or None
        Its head, if newer than the asking agent's.
    vms : VmList or None
        Its list of VMs, if newer than the asking agent's.
    """

    ready: bool
    version: int
    head: TableHead | None = None
    vms: VmList | None = None
