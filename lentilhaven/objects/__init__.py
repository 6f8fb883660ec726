"""
The client of the platform's object API and of its list of VMs.

An object has a name, a JSON value and a *version*, which the platform raises
with every write.  A *conditional update* names the version that the writer has
read, and fails if another writer came first; this is the only means by which
the VMs agree on anything.  A *watch* waits until something below a prefix
changes.

A write whose answer is lost may have taken effect.  `Ambiguous` says so in the
type, so that no caller can mistake it for a failure: the object must be read
back before anything is concluded from it.

This subpackage is the only one that knows the platform's wire.
"""

from lentilhaven.objects.listing import Listing
from lentilhaven.objects.object_client import ObjectClient, open_object_client
from lentilhaven.objects.share import Share
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.objects.vm import ListedVm, VmState
from lentilhaven.objects.vm_list import VmList
from lentilhaven.objects.write_outcome import (
    Ambiguous,
    Conflict,
    Refused,
    WriteOutcome,
    Written,
)

__all__ = [
    "Ambiguous",
    "Conflict",
    "ListedVm",
    "Listing",
    "ObjectClient",
    "Refused",
    "Share",
    "StoredObject",
    "VmList",
    "VmState",
    "WriteOutcome",
    "Written",
    "open_object_client",
]
