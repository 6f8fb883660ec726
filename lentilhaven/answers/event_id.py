"""
Signed ids of server-sent events.

A caller that lost its connection sends the last id that it saw to any VM, which
goes on from there.  Nothing is stored: the id names the workspace, the request,
the engines of its stream and the next position, and carries a signature by the
cluster's key, so that it can't be forged or used by another workspace.
"""

import base64
import binascii
import hashlib
import hmac
import json

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import EndpointId, PoolName, RequestId, WorkspaceId
from lentilhaven.core.step import Step

#: Separates the key of event ids from other uses of the cluster's token.
PURPOSE = b"lentilhaven event id 1"

#: Bytes of a signature.
SIGNATURE_SIZE = 16

#: Longest id that is looked at, in characters.
LONGEST_ID = 4096


@attrs.frozen
class ResumePoint:
    """
    Where an answer goes on.

    Attributes
    ----------
    workspace : str
        Who may go on.
    request : str
        The request.
    pool : str
        The pool that answers.
    chain : list of str
        Endpoints of the attempt that made the last piece, head first.
    expires : int
        Wall time after which the id is refused, in seconds since 1970.
    position : int
        Next position.
    finished : bool
        Whether the answer is complete.
    """

    workspace: WorkspaceId
    request: RequestId
    pool: PoolName
    chain: list[EndpointId]
    expires: int
    position: int = 0
    finished: bool = False


def derive_key(cluster_token: str) -> bytes:
    """
    Return the key that signs event ids.

    Parameters
    ----------
    cluster_token : str
        The token that the system's processes share.
    """
    return hmac.digest(cluster_token.encode(), PURPOSE, "sha256")


def encode_stream(point: ResumePoint) -> str:
    """
    Return the part of an id that is the same for all pieces of an attempt.

    Parameters
    ----------
    point : ResumePoint
        Where the answer goes on; its position is left out.
    """
    fields = [point.workspace, point.request, point.pool, point.chain, point.expires]
    return encode_bytes(json.dumps(fields, separators=(",", ":")).encode())


def sign_event(key: bytes, stream: str, position: int, finished: bool) -> str:
    """
    Return the id of one event.

    Parameters
    ----------
    key : bytes
        Signs the id.
    stream : str
        What `encode_stream` returned.
    position : int
        Next position.
    finished : bool
        Whether the answer is complete.

    Examples
    --------
    >>> point = ResumePoint("w", "r", "llm", ["e1", "e2"], expires=100)
    >>> event_id = sign_event(b"key", encode_stream(point), 7, finished=False)
    >>> read_event_id(b"key", event_id, "w", now=99.0).ok.position
    7
    >>> read_event_id(b"key", event_id, "x", now=99.0).error.kind
    'resume-refused'
    """
    signed = f"{stream}.{position}.{int(finished)}"
    return f"{signed}.{encode_bytes(signature(key, signed))}"


def signature(key: bytes, signed: str) -> bytes:
    """Return the signature of the first three parts of an id."""
    return hmac.digest(key, signed.encode(), hashlib.sha256)[:SIGNATURE_SIZE]


def encode_bytes(data: bytes) -> str:
    """Return bytes in the URL-safe alphabet without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def decode_bytes(text: str) -> bytes:
    """Return the bytes that `encode_bytes` was given."""
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def read_event_id(
    key: bytes, event_id: str, workspace: WorkspaceId, now: float
) -> Result[ResumePoint, Failure]:
    """
    Check an id that a caller sent.

    Parameters
    ----------
    key : bytes
        Signs the id.
    event_id : str
        What the caller sent.
    workspace : str
        The caller's workspace.
    now : float
        Wall time, in seconds since 1970.

    Returns
    -------
    Result
        Where to go on, or a failure that is the same for every id that was not
        signed for this workspace.
    """
    signed, _, sign = event_id.rpartition(".")
    try:
        shown = decode_bytes(sign)
        genuine = hmac.compare_digest(shown, signature(key, signed))
        if len(event_id) > LONGEST_ID or not genuine:
            return Error(refused())
        point = decode_point(signed)
    except (ValueError, TypeError, binascii.Error, UnicodeError):
        return Error(refused())
    if point.workspace != workspace:
        return Error(refused())
    if now > point.expires:
        detail = "the event id has expired; send the request again without it"
        return Error(Failure(Step.RESUME, "", "resume-expired", detail))
    return Ok(point)


def decode_point(signed: str) -> ResumePoint:
    """Return what the signed part of an id says."""
    stream, position, finished = signed.split(".")
    workspace, request, pool, chain, expires = json.loads(decode_bytes(stream))
    return ResumePoint(
        workspace, request, pool, chain, expires, int(position), finished == "1"
    )


def refused() -> Failure:
    """Return the failure of an id that was not signed for this workspace."""
    detail = "Last-Event-ID is not an id that this workspace was given"
    return Failure(Step.RESUME, "", "resume-refused", detail)
