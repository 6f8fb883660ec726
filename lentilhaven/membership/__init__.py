"""
Which VMs are live, and which of them does what.

The platform's list of VMs says who belongs to the system, and lags.  Between its
changes every VM sends heartbeats to a bounded number of others, its *subjects*,
and each VM has a bounded number of *monitors*.  A VM whose monitors miss it is
*suspected*: it owns no duties, but belongs to the system until the list removes
it.  A suspicion names the *incarnation* of the VM, so that a process that comes
back at the same address is another.

A *duty* belongs to the live VMs that rank highest by rendezvous hashing.  Two
VMs with different views may both do it; duties are such that this is harmless.

What agents tell each other beside heartbeats are *facts*: each has one writer
and a rising sequence, and its age travels with it.
"""

from lentilhaven.membership.fact import Fact
from lentilhaven.membership.fact_table import FactTable, Topic
from lentilhaven.membership.members import Members
from lentilhaven.membership.peer_client import PeerClient
from lentilhaven.membership.rendezvous import choose_owners, rank_members

__all__ = [
    "Fact",
    "FactTable",
    "Members",
    "PeerClient",
    "Topic",
    "choose_owners",
    "rank_members",
]
