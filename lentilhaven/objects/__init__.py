"""
Client of the platform's object API and of its list of VMs.

An object has a name, a JSON value and a *version*, which the platform increases
with every write.  A *conditional update* names the version that the writer has
read, and fails if another writer has changed the object since; it is the only
mechanism by which VMs reach agreement.  A *watch* waits until an object whose
name starts with a prefix changes.

A write whose response is lost may have taken effect.  It returns `Ambiguous`, a
type of its own, so that no caller can mistake it for a failure: the caller must
read the object back before it draws a conclusion.

Only this subpackage implements the client side of the object API.
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
