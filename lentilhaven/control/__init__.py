"""
Messages between the router and the agent of one VM.

The agent maintains a *view*: the current tables and the known state of every
endpoint.  The router fetches the view by long polling over the loopback interface
and routes on the last view that it received, so that routing continues while the
agent restarts.  Before it dispatches a non-idempotent call, the router asks the
agent for a *claim*; afterwards it *settles* the claim.
"""

from lentilhaven.control.claim import (
    ClaimAnswer,
    ClaimOutcome,
    ClaimRequest,
    RecordedResponse,
    Settlement,
    SettleOutcome,
)
from lentilhaven.control.view import EndpointState, EndpointView, View

__all__ = [
    "ClaimAnswer",
    "ClaimOutcome",
    "ClaimRequest",
    "EndpointState",
    "EndpointView",
    "RecordedResponse",
    "SettleOutcome",
    "Settlement",
    "View",
]
