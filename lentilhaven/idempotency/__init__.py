"""
The journal of non-idempotent calls.

A call is identified by workspace, route and key.  It is dispatched only after a
*claim* on it has been confirmed in the platform's store, and settled
afterwards: *done* with its response, *abandoned* when nothing was sent, or
*unknown*.  A later call with the same key gets the recorded response, or is told
that the outcome is unknown; it never runs again.

Keys hash to shards.  One VM, the shard's *owner*, collects claims and
settlements and commits them as one conditional update (*group commit*).  The
conditional update is the only fence: two owners, a paused one and an answer
that was lost are all settled by it, and no promise depends on a clock.

See Also
--------
lentilhaven.control : The messages.
"""

from lentilhaven.idempotency.call_key import key_time, time_ordered_key
from lentilhaven.idempotency.guarded_call import GuardedCall
from lentilhaven.idempotency.journal import Journal, open_journal
from lentilhaven.idempotency.journal_host import open_journal_host
from lentilhaven.idempotency.journal_layout import JournalLayout
from lentilhaven.idempotency.journal_node import JournalNode
from lentilhaven.idempotency.journal_peers import JournalPeers
from lentilhaven.idempotency.write_budget import WriteBudget

__all__ = [
    "GuardedCall",
    "Journal",
    "JournalLayout",
    "JournalNode",
    "JournalPeers",
    "WriteBudget",
    "key_time",
    "open_journal",
    "open_journal_host",
    "time_ordered_key",
]
