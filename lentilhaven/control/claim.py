"""Messages that claim and settle non-idempotent calls."""

import enum

import attrs

from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import RequestId, RouteName, WorkspaceId

#: Seconds after which the outcome of an unsettled claim counts as unknown.
IN_PROGRESS_LIMIT = 120.0


@attrs.frozen
class ClaimRequest:
    """
    A router's request for the right to dispatch a non-idempotent call.

    Attributes
    ----------
    workspace, route, key : str
        Together they identify the call.
    fingerprint : str
        Hash of method, path and body; a key must not be reused with a different
        fingerprint.
    request : str
        Id of the dispatching request, unique across all VMs and never reused.
    in_progress_limit : float
        Seconds after which the outcome of an unsettled claim counts as unknown.
    rerun_unknown : bool
        Whether the endpoints themselves execute each key at most once, so that a
        call whose outcome is unknown may be sent again.
    """

    workspace: WorkspaceId
    route: RouteName
    key: str
    fingerprint: str
    request: RequestId
    in_progress_limit: float = IN_PROGRESS_LIMIT
    rerun_unknown: bool = False


class ClaimOutcome(enum.Enum):
    """Result of a claim."""

    GRANTED = "granted"
    IN_PROGRESS = "in-progress"
    REPLAY = "replay"
    UNKNOWN = "unknown"
    MISMATCH = "mismatch"
    EXPIRED = "expired"
    UNAVAILABLE = "unavailable"


@attrs.frozen
class RecordedResponse:
    """
    A response that is recorded so that it can be replayed if it is small enough.

    Attributes
    ----------
    status : int
        HTTP status code.
    content_type : str
        Media type.
    body : str
        Base64-encoded body; empty if it was too large to record.
    truncated : bool
        Whether the body was too large to record.
    """

    status: int
    content_type: str
    body: str
    truncated: bool = False


@attrs.frozen
class ClaimAnswer:
    """
    The agent's answer to a claim.

    Attributes
    ----------
    outcome : ClaimOutcome
        Only ``GRANTED`` allows a dispatch, and only of one attempt.
    response : RecordedResponse or None
        The recorded response, for ``REPLAY``.
    failure : Failure or None
        The reason, for ``UNAVAILABLE``.
    holder : str or None
        Id of the request that holds the call, for ``UNKNOWN`` and
        ``IN_PROGRESS``.
    may_stand : bool
        Whether the claim may be in the store now or later although this answer
        does not grant it; the router then withdraws it.
    """

    outcome: ClaimOutcome
    response: RecordedResponse | None = None
    failure: Failure | None = None
    holder: RequestId | None = None
    may_stand: bool = False


class SettleOutcome(enum.Enum):
    """Outcome of a granted call."""

    DONE = "done"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"


@attrs.frozen
class Settlement:
    """
    A router's report of the outcome of a granted call.

    Attributes
    ----------
    claim : ClaimRequest
        The claim that was granted.
    outcome : SettleOutcome
        ``ABANDONED`` guarantees that nothing was sent, or that what was sent is
        proven not to have run, and that the request sends nothing more.
    response : RecordedResponse or None
        The response to record, for ``DONE``.
    """

    claim: ClaimRequest
    outcome: SettleOutcome
    response: RecordedResponse | None = None
