"""How a gateway asks another one to connect it to an endpoint."""

import enum
import json

import attrs

from lentilhaven.peering.subject import Incarnation

#: Maximum length of a line of the handshake, in bytes.
MAX_LINE_BYTES = 1024


class TunnelError(enum.Enum):
    """Reason for which a gateway does not connect another one to an endpoint."""

    #: Nothing listens on the endpoint's port.
    REFUSED = "refused"
    #: The endpoint does not accept the connection in time, or can't be reached.
    UNREACHED = "unreached"
    #: The gateway knows no such endpoint, or one that is leaving.
    UNKNOWN = "unknown"
    #: The gateway has too many such connections, or is terminating.
    BUSY = "busy"
    MALFORMED = "malformed"


@attrs.frozen
class TunnelRequest:
    """
    A request for a connection to an endpoint.

    Attributes
    ----------
    incarnation : tuple of (str, int)
        The endpoint.
    vm : str
        VM of the gateway that asks.
    takes_notices : bool
        Whether it knows the frames of `Notice`; earlier releases do not.
    """

    incarnation: Incarnation
    vm: str
    takes_notices: bool = True


class TunnelRefusedError(OSError):
    """
    Another gateway did not connect this one to an endpoint.

    Attributes
    ----------
    reason : TunnelError
        Why it did not.
    """

    def __init__(self, reason: TunnelError, address: str) -> None:
        super().__init__(f"gateway {address} says: {reason.value}")
        self.reason = reason


def encode_request(request: TunnelRequest) -> bytes:
    """
    Encode a request as a line.

    Examples
    --------
    >>> request = TunnelRequest(("i-1", 17), "vm-2")
    >>> decode_request(encode_request(request)) == request
    True
    """
    endpoint, born = request.incarnation
    fields = {
        "endpoint": endpoint,
        "born": born,
        "vm": request.vm,
        "notices": request.takes_notices,
    }
    return json.dumps(fields).encode() + b"\n"


def decode_request(line: bytes) -> TunnelRequest | None:
    """
    Decode a request; return None if it is malformed.

    Examples
    --------
    >>> decode_request(b'{"endpoint": "i-1"}')
    """
    try:
        fields = json.loads(line)
        incarnation = (str(fields["endpoint"]), int(fields["born"]))
        takes_notices = fields.get("notices") is True
        return TunnelRequest(incarnation, str(fields["vm"]), takes_notices)
    except (ValueError, KeyError, TypeError, OverflowError, RecursionError):
        return None


def encode_answer(error: TunnelError | None) -> bytes:
    """Encode the answer to a request as a line; None means that it is connected."""
    value = error.value if error is not None else None
    return json.dumps({"error": value}).encode() + b"\n"


def decode_answer(line: bytes) -> TunnelError | None:
    """
    Decode an answer; one that is malformed counts as a refusal.

    Examples
    --------
    >>> decode_answer(encode_answer(None))
    >>> decode_answer(b"HTTP/1.1 400 Bad Request")
    <TunnelError.MALFORMED: 'malformed'>
    """
    try:
        value = json.loads(line)["error"]
        return None if value is None else TunnelError(value)
    except (ValueError, KeyError, TypeError, RecursionError):
        return TunnelError.MALFORMED
