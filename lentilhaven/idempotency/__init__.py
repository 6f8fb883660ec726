"""
The journal of non-idempotent calls.

A call is identified by workspace, route and key.  It is dispatched only after a
*claim* on it has been confirmed in the platform's store, and settled
afterwards: *done* with its response, *abandoned* if it certainly did not run, or
*unknown*.  A later call with the same key runs only if the call was abandoned;
otherwise it gets the recorded response, or is told that the call is in progress
or that its outcome is unknown.

Endpoints that themselves execute each key at most once are an exception.  A call
to them is sent without a claim if the journal is unavailable, and may be sent
again if its outcome is unknown.

Keys are hashed to shards.  One VM, the *owner* of the shard, collects claims and
settlements and commits them in one conditional update (*group commit*).  The
conditional update is the only fencing mechanism: it makes two concurrent owners,
a paused owner and a lost response harmless, and no guarantee depends on a clock.

See Also
--------
lentilhaven.control : Messages between a router and its agent.
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
