"""
Frames in which a gateway passes on what an endpoint sends.

An answer without a length ends with its connection, and is whole only if the endpoint
has closed it in order.  The connection between two gateways may break too, so that its
own end says nothing: a frame tells how the endpoint's connection has ended.  Another
one tells that the gateway itself is about to end.
"""

import enum
import struct

import attrs

#: Length of a frame's data, as four bytes in front of it.
HEADER = struct.Struct(">I")

#: Lengths that stand for an end of the endpoint's connection, and for a notice.
CLOSED_LENGTH, BROKEN_LENGTH = 0, 0xFFFFFFFF
LEAVING_LENGTH = 0xFFFFFFFE

#: Maximum length of the data of a frame, in bytes; more than one read returns.
MAX_FRAME_BYTES = 1 << 20


class StreamEnd(enum.Enum):
    """How an endpoint's connection has ended."""

    CLOSED = CLOSED_LENGTH
    BROKEN = BROKEN_LENGTH


class Notice(enum.Enum):
    """What a gateway says beside what the endpoint sends."""

    #: It is about to end: no further request should be sent through it.
    LEAVING = LEAVING_LENGTH


#: Frames without data, by the length that stands for them.
MARKS: dict[int, StreamEnd | Notice] = {it.value: it for it in (*StreamEnd, *Notice)}


class FrameError(ValueError):
    """Received bytes are no frames."""


def encode_frame(data: bytes) -> bytes:
    """Encode data that an endpoint has sent; it must not be empty."""
    return HEADER.pack(len(data)) + data


def encode_mark(mark: StreamEnd | Notice) -> bytes:
    """Encode the end of the endpoint's connection, or a notice."""
    return HEADER.pack(mark.value)


@attrs.define
class FrameDecoder:
    """
    Splits received bytes into what an endpoint has sent.

    Attributes
    ----------
    buffer : bytearray
        Start of a frame whose end has not arrived.

    Examples
    --------
    >>> decoder = FrameDecoder()
    >>> data = encode_frame(b"abc") + encode_mark(StreamEnd.CLOSED)
    >>> decoder.feed(data[:5]), decoder.feed(data[5:])
    ([], [b'abc', <StreamEnd.CLOSED: 0>])
    """

    buffer: bytearray = attrs.field(factory=bytearray)

    def feed(self, data: bytes) -> list[bytes | StreamEnd | Notice]:
        """
        Return the frames that are complete with new data.

        Raises
        ------
        FrameError
            If a frame is longer than `MAX_FRAME_BYTES`.
        """
        self.buffer += data
        found: list[bytes | StreamEnd | Notice] = []
        while len(self.buffer) >= HEADER.size:
            (length,) = HEADER.unpack_from(self.buffer)
            if length in MARKS:
                del self.buffer[: HEADER.size]
                found.append(MARKS[length])
                continue
            if length > MAX_FRAME_BYTES:
                raise FrameError(f"a frame of {length} bytes")
            end = HEADER.size + length
            if len(self.buffer) < end:
                break
            found.append(bytes(self.buffer[HEADER.size : end]))
            del self.buffer[:end]
        return found
