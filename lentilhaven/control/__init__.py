"""
The messages between a VM's router and its agent.

The agent keeps a *view*: the tables in force and what is known of every
endpoint.  The router follows it by long poll over loopback and decides on the
last view that it has, so that it goes on while the agent restarts.  For
non-idempotent calls the router asks the agent for a *claim* before dispatch and
*settles* it afterwards.
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
