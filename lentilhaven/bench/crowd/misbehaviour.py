"""Kinds of misbehaviour of clients, as the bytes that each client sends."""

from collections.abc import Callable

import attrs

from lentilhaven.bench.soak.kept_connection import encode_request
from lentilhaven.bench.soak.soak_tables import API_KEYS
from lentilhaven.standins.platform.sample_files import HOST, request_headers

#: Bytes that a client sends at a time, and length of a pipelined body.
PIECE_BYTES, BODY_BYTES = 65_536, 30_000

#: Clients of most kinds of misbehaviour, and of those that hold little each.
FEW_CLIENTS, MANY_CLIENTS = 24, 150

#: Connections that send nothing: more than the lowered limit on descriptors.
SILENT_CLIENTS = 600

#: Beginning of a TLS handshake: a record that announces 512 bytes of a ClientHello.
HELLO_START = b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + bytes(20)


@attrs.frozen
class Misbehaviour:
    """
    What each client of a crowd sends.

    Attributes
    ----------
    opening : bytes
        Bytes at the start of a connection.
    piece : callable
        Returns the bytes that follow without end, given their number from 0; no bytes
        if the connection stays silent.
    clients : int
        Number of clients.
    pause : float
        Seconds between two pieces.
    is_encrypted : bool
        Whether a client completes the TLS handshake first.
    """

    opening: bytes
    piece: Callable[[int], bytes]
    clients: int = FEW_CLIENTS
    pause: float = 0.0
    is_encrypted: bool = False


def repeat(data: bytes) -> Callable[[int], bytes]:
    """Return a source of pieces that repeat some bytes."""
    piece = data * max(1, PIECE_BYTES // len(data)) if data else b""
    return lambda number: piece


def distinct_fields(number: int) -> bytes:
    """Return header fields that no other piece has."""
    return b"".join(b"F%d-%d: v\r\n" % (number, it) for it in range(200))


def make_request(key: str, body: bytes = b"", method: str = "GET") -> bytes:
    """Return a complete request to the safe route."""
    fields = request_headers("crowd", key, 1.0)
    return encode_request(method, "/look/1", fields, body)


def open_head(*fields: str, method: str = "POST") -> bytes:
    """Return the beginning of a request's head."""
    known = request_headers("crowd", API_KEYS["depot"], 1.0)
    lines = [f"{name}: {value}" for name, value in known.items()]
    head = [f"{method} /look/1 HTTP/1.1", *lines, *fields]
    return "".join(f"{line}\r\n" for line in head).encode()


def misbehaviours() -> dict[str, Misbehaviour]:
    """Return all kinds of misbehaviour by name."""
    key = API_KEYS["depot"]
    letters = repeat(b"a")
    chunked = open_head("Transfer-Encoding: chunked") + b"\r\n"
    upgrade = open_head("Connection: upgrade", "Upgrade: websocket", method="GET")
    closing = open_head("Connection: close", method="GET")
    posted = repeat(make_request(key, bytes(BODY_BYTES), "POST"))
    head = f"GET / HTTP/1.1\r\nHost: {HOST}\r\n".encode()
    return {
        "upgrade-tail": Misbehaviour(upgrade + b"\r\n", letters),
        "close-tail": Misbehaviour(closing + b"\r\n", letters),
        "method": Misbehaviour(b"", repeat(b"A")),
        "request-line": Misbehaviour(b"GET /", letters),
        "field-value": Misbehaviour(head + b"X: ", letters),
        "repeated-field": Misbehaviour(head, repeat(b"X: y\r\n")),
        "distinct-fields": Misbehaviour(head, distinct_fields, MANY_CLIENTS),
        "blank-lines": Misbehaviour(b"", repeat(b"\r\n")),
        "one-byte-chunks": Misbehaviour(chunked, repeat(b"1\r\nx\r\n")),
        "chunk-extension": Misbehaviour(chunked + b"1;", letters),
        "trailers": Misbehaviour(chunked + b"0\r\n", distinct_fields, MANY_CLIENTS),
        "pipelined-bodies": Misbehaviour(b"", posted, MANY_CLIENTS),
        "pipelined-unread": Misbehaviour(b"", repeat(make_request(key)), MANY_CLIENTS),
        "pipelined-refused": Misbehaviour(b"", repeat(make_request("none"))),
        "silent": Misbehaviour(b"", repeat(b""), SILENT_CLIENTS),
        "half-handshake": Misbehaviour(HELLO_START, repeat(b""), SILENT_CLIENTS),
        "small-records": Misbehaviour(
            head + b"X: ", lambda number: b"abc", pause=0.001, is_encrypted=True
        ),
    }
