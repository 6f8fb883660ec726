"""Messages that claim and settle non-idempotent calls."""

import enum

import attrs

from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import RequestId, RouteName, WorkspaceId

#: Seconds after the claim from which the outcome of an unsettled call counts as
#: unknown.
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
        Seconds after the claim from which the outcome of an unsettled call counts
        as unknown.
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
    """
    Result of a claim.

    ``IN_PROGRESS``: another request holds the call and has not settled it yet.
    ``REPLAY``: the call is done, and its response is returned if it was kept.
    ``UNKNOWN``: another request holds the call, which may have run.  ``MISMATCH``:
    the key was used with another fingerprint.  ``EXPIRED``: the journal no longer
    keeps entries for the key.  ``UNAVAILABLE``: the claim was not granted, for the
    reason in the failure.
    """

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
    A response as recorded for replay; a body that is too large is left out.

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
        ``GRANTED`` allows the request that claimed the call to dispatch it once.
        No other outcome allows a dispatch, except ``UNAVAILABLE`` if
        `ClaimRequest.rerun_unknown` is set.
    response : RecordedResponse or None
        The recorded response, for ``REPLAY``; None if it was not kept.
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
    """Outcome of a call, as known to the router that claimed it."""

    DONE = "done"
    ABANDONED = "abandoned"
    UNKNOWN = "unknown"


@attrs.frozen
class Settlement:
    """
    A router's report of the outcome of a call that it claimed.

    Attributes
    ----------
    claim : ClaimRequest
        The claim on the call.  It need not have been granted: ``ABANDONED`` also
        withdraws a claim whose answer was lost.
    outcome : SettleOutcome
        ``ABANDONED`` guarantees that nothing was sent, or that what was sent is
        proven not to have run, and that the request sends nothing more.
    response : RecordedResponse or None
        The response to record, for ``DONE``.
    """

    claim: ClaimRequest
    outcome: SettleOutcome
    response: RecordedResponse | None = None
