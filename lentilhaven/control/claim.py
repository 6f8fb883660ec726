"""Claims on non-idempotent calls."""

import enum

import attrs

from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import RequestId, RouteName, WorkspaceId

#: Seconds after which a claim without a settlement counts as unknown.
IN_PROGRESS_LIMIT = 120.0


@attrs.frozen
class ClaimRequest:
    """
    A router's wish to dispatch a non-idempotent call.

    Attributes
    ----------
    workspace, route, key : str
        Together they identify the call.
    fingerprint : str
        Hash of method, path and body; a key must not be reused with another.
    request : str
        The dispatching request, unique over all VMs and times.
    in_progress_limit : float
        Seconds after which a claim that was not settled counts as unknown.
    rerun_unknown : bool
        Whether the endpoints themselves run a key at most once, so that a call
        whose outcome is unknown may be sent again.
    """

    workspace: WorkspaceId
    route: RouteName
    key: str
    fingerprint: str
    request: RequestId
    in_progress_limit: float = IN_PROGRESS_LIMIT
    rerun_unknown: bool = False


class ClaimOutcome(enum.Enum):
    """What a claim was answered with."""

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
    A small response that can be replayed.

    Attributes
    ----------
    status : int
        HTTP status.
    content_type : str
        Media type.
    body : str
        Body in Base64; empty if it was too large to record.
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
        Only ``GRANTED`` allows a dispatch, of exactly one attempt.
    response : RecordedResponse or None
        Set for ``REPLAY``.
    failure : Failure or None
        Set for ``UNAVAILABLE``.
    holder : str or None
        The request that holds the call, for ``UNKNOWN`` and ``IN_PROGRESS``.
    may_stand : bool
        Whether the claim may be in the store, or get there, without being
        granted by this answer; the router then withdraws it.
    """

    outcome: ClaimOutcome
    response: RecordedResponse | None = None
    failure: Failure | None = None
    holder: RequestId | None = None
    may_stand: bool = False


class SettleOutcome(enum.Enum):
    """How a granted call ended."""

    DONE = "done"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"


@attrs.frozen
class Settlement:
    """
    A router's report of how a granted call ended.

    Attributes
    ----------
    claim : ClaimRequest
        The claim that was granted.
    outcome : SettleOutcome
        ``ABANDONED`` promises that nothing was sent, or that what was sent was
        proved not to have run, and that the request will send nothing more.
    response : RecordedResponse or None
        Set for ``DONE``.
    """

    claim: ClaimRequest
    outcome: SettleOutcome
    response: RecordedResponse | None = None
