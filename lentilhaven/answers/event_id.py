"""
Signed ids of server-sent events.

A caller that has lost its connection sends the last id that it received to any VM,
and that VM resumes the stream at the position in the id.  No VM stores the ids: an
id contains the workspace, the request, the pool, the engines of the stream, the time
of expiry and the next position.  It is signed with a key derived from the cluster
token, so that it can't be forged or used by another workspace.
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

#: Makes the key of event ids differ from other keys derived from the cluster token.
KEY_CONTEXT = b"lentilhaven event id 1"

#: Length of a truncated signature, in bytes.
SIGNATURE_SIZE = 16

#: Longest id that is accepted, in characters.
MAX_ID_LENGTH = 4096


@attrs.frozen
class ResumePoint:
    """
    The point of an answer at which a stream resumes.

    Attributes
    ----------
    workspace : str
        The only workspace that may resume the answer.
    request : str
        Id of the request.
    pool : str
        The pool that serves the request.
    chain : list of str
        Endpoints of the attempt that generated the last piece, head first.
    expires : int
        Wall time after which the id is rejected, in seconds since 1970.
    position : int
        Position of the next token, counted from 0.
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
    Return the key with which event ids are signed.

    Parameters
    ----------
    cluster_token : str
        The cluster token, which all processes of the cluster share.
    """
    return hmac.digest(cluster_token.encode(), KEY_CONTEXT, "sha256")


def encode_stream(point: ResumePoint) -> str:
    """
    Return the part of an id that is the same for all pieces of an attempt.

    Parameters
    ----------
    point : ResumePoint
        Where the answer resumes; `position` and `finished` are not encoded.
    """
    fields = [point.workspace, point.request, point.pool, point.chain, point.expires]
    return encode_base64(json.dumps(fields, separators=(",", ":")).encode())


def sign_event(key: bytes, stream: str, position: int, finished: bool) -> str:
    """
    Return the id of one event.

    Parameters
    ----------
    key : bytes
        Key from `derive_key`.
    stream : str
        Result of `encode_stream`.
    position : int
        Position of the next token.
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
    return f"{signed}.{encode_base64(compute_signature(key, signed))}"


def compute_signature(key: bytes, signed: str) -> bytes:
    """Return the truncated signature of the first three parts of an id."""
    return hmac.digest(key, signed.encode(), hashlib.sha256)[:SIGNATURE_SIZE]


def encode_base64(data: bytes) -> str:
    """Return the URL-safe base64 encoding of bytes, without padding."""
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def decode_base64(text: str) -> bytes:
    """Decode a string that `encode_base64` returned."""
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


def read_event_id(
    key: bytes, event_id: str, workspace: WorkspaceId, now: float
) -> Result[ResumePoint, Failure]:
    """
    Verify and decode an event id sent by a caller.

    Parameters
    ----------
    key : bytes
        Key from `derive_key`.
    event_id : str
        The id to verify.
    workspace : str
        The caller's workspace.
    now : float
        Wall time, in seconds since 1970.

    Returns
    -------
    Result
        Where to resume, or a failure.  The failure is the same for every id that
        was not signed for this workspace; an expired id has a failure of its own.
    """
    signed, _, encoded_signature = event_id.rpartition(".")
    try:
        received = decode_base64(encoded_signature)
        is_valid = hmac.compare_digest(received, compute_signature(key, signed))
        if len(event_id) > MAX_ID_LENGTH or not is_valid:
            return Error(make_refusal())
        point = decode_point(signed)
    except (ValueError, TypeError, binascii.Error, UnicodeError):
        return Error(make_refusal())
    if point.workspace != workspace:
        return Error(make_refusal())
    if now > point.expires:
        detail = "the event id has expired; send the request again without it"
        return Error(Failure(Step.RESUME, "", "resume-expired", detail))
    return Ok(point)


def decode_point(signed: str) -> ResumePoint:
    """Decode the signed part of an id."""
    stream, position, finished = signed.split(".")
    workspace, request, pool, chain, expires = json.loads(decode_base64(stream))
    return ResumePoint(
        workspace, request, pool, chain, expires, int(position), finished == "1"
    )


def make_refusal() -> Failure:
    """Return the failure for an id that was not signed for this workspace."""
    detail = "Last-Event-ID is not an id that this workspace was given"
    return Failure(Step.RESUME, "", "resume-refused", detail)
