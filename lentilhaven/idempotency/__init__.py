"""
The journal of non-idempotent calls.

A call is identified by workspace, route and key.  It is dispatched only after a
*claim* on it has been confirmed in the platform's store, and settled
afterwards: *done* with its response, *abandoned* when nothing was sent, or
*unknown*.  A later call with the same key gets the recorded response, or is told
that the outcome is unknown; it never runs again.
"""

from lentilhaven.idempotency.journal import Journal

__all__ = ["Journal"]
