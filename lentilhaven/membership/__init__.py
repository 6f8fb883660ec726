"""
Membership, failure detection and assignment of keys to VMs.

The platform's list of VMs defines the members of the system, but it lags behind
failures.  Between changes of the list, every VM sends heartbeats to a bounded
number of other VMs, its *subjects*, and is checked by a bounded number of
*monitors*.  A VM that does not answer its monitors is *suspected*: it owns no
keys, but remains a member until the list removes it.  A suspicion names the
*incarnation* of the VM, so that it does not apply to a process that restarts at
the same address.

A *key* stands for a task or a shard.  Its owners are the live VMs that rank
highest for it by rendezvous hashing.  VMs with different views may own the same
key at the same time; every task is designed so that this is harmless.

Besides heartbeats, agents exchange *facts*.  Each fact has one writer, an
increasing sequence number, and an age that is sent with it.
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
