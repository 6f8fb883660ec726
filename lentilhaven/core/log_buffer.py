"""A non-blocking text stream for logs."""

import asyncio
import os
from collections import deque

import attrs

#: Maximum number of bytes that are buffered if the reader of the log falls behind.
MAX_BUFFERED_BYTES = 262_144


@attrs.define
class LogBuffer:
    """
    Buffers lines until they can be written, and drops lines when it is full.

    Attributes
    ----------
    descriptor : int
        File descriptor to write to; it is set to non-blocking mode.
    lines : deque of bytes
        Lines, or the rest of a line, that have not been written.
    buffered_bytes : int
        Size of `lines`, in bytes.
    dropped : int
        Number of lines dropped since the last line that was buffered.
    watching : bool
        Whether the event loop is watching the descriptor for writability.
    """

    descriptor: int
    lines: deque[bytes] = attrs.field(factory=deque)
    buffered_bytes: int = 0
    dropped: int = 0
    watching: bool = False

    def __attrs_post_init__(self) -> None:
        """Set the descriptor to non-blocking mode."""
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """
        Buffer one line, or drop it if the buffer is full.

        As for any text stream, the result is the length of `text` in characters,
        also if the line is dropped.
        """
        line = text.encode()
        if self.buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped += 1
            return len(text)
        if self.dropped:
            note = f'{{"event": "log lines dropped", "dropped": {self.dropped}}}\n'
            self.dropped = 0
            self.append(note.encode())
        self.append(line)
        return len(text)

    def append(self, line: bytes) -> None:
        """Append a line to the buffer."""
        self.lines.append(line)
        self.buffered_bytes += len(line)

    def flush(self) -> None:
        """
        Write as much as the descriptor accepts without blocking.

        An error of the descriptor discards the buffer.
        """
        while self.lines:
            line = self.lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                self.flush_when_writable()
                return
            except OSError:
                self.lines.clear()
                self.buffered_bytes = 0
                return
            self.buffered_bytes -= written
            if written < len(line):
                self.lines[0] = line[written:]
                continue
            self.lines.popleft()

    def flush_when_writable(self) -> None:
        """
        Flush again as soon as the descriptor is writable.

        Without a running event loop, or if the loop can't watch the descriptor, the
        lines stay buffered until the next flush.
        """
        if self.watching:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self.descriptor, self.on_writable)
        except (RuntimeError, PermissionError, OSError):
            return
        self.watching = True

    def on_writable(self) -> None:
        """Stop watching the descriptor and flush the buffer."""
        asyncio.get_running_loop().remove_writer(self.descriptor)
        self.watching = False
        self.flush()
