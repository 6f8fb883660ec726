"""Sizes of parsed requests."""

from aiohttp.http_parser import RawRequestMessage
from aiohttp.streams import StreamReader

#: Bytes of a request line besides method and target: two spaces, version, line end.
LINE_BYTES = 12

#: Bytes of the empty line that ends a head, and of a field besides name and value.
END_BYTES, FIELD_BYTES = 2, 4

#: Bytes of memory of a parsed field besides its text, and of a queued request.
FIELD_OVERHEAD, REQUEST_OVERHEAD = 400, 2000


def head_bytes(message: RawRequestMessage) -> int:
    """Return the size of a request's head as it was sent, without optional blanks."""
    size = len(message.method) + len(message.path) + LINE_BYTES + END_BYTES
    for name, value in message.raw_headers:
        size += len(name) + len(value) + FIELD_BYTES
    return size


def queued_bytes(size: int, fields: int) -> int:
    """Return the memory of a queued request's head, by its size and its fields."""
    return 2 * size + fields * FIELD_OVERHEAD + REQUEST_OVERHEAD


def body_bytes(payload: StreamReader) -> int:
    """Return how many bytes of a body have arrived, before any decompression."""
    return payload.total_raw_bytes
