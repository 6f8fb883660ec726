"""Looks up the VM that an operator names."""

from lentilhaven.cli.connection import Connection
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.step import Step
from lentilhaven.objects.vm import ListedVm


async def find_vm(connection: Connection, name: str) -> ListedVm:
    """
    Return a VM of the platform's list by its id.

    Parameters
    ----------
    connection : Connection
        Connections to the store and the VMs.
    name : str
        Id of the VM; empty for the first one in the list.

    Raises
    ------
    FailureError
        If the list has no such VM.
    """
    vms = await connection.list_vms()
    for vm in vms:
        if vm.id == name or not name:
            return vm
    known = ", ".join(vm.id for vm in vms) or "none"
    detail = f"no VM is called {name!r}; listed: {known}"
    raise FailureError(Failure(Step.LIST_VMS, "", "unknown-vm", detail))
