"""A text stream for logs that never makes its writer wait."""

import asyncio
import os
from collections import deque

import attrs

#: Bytes that are held while the reader of the log does not read.
MOST_HELD = 262_144


@attrs.define
class LogBuffer:
    """
    Holds lines until a descriptor takes them, and drops what does not fit.

    Attributes
    ----------
    descriptor : int
        Where the lines go; it is set to non-blocking.
    lines : deque of bytes
        What has not been written.
    held : int
        Bytes in `lines`.
    dropped : int
        Lines dropped since the last that was held.
    waiting : bool
        Whether the event loop watches the descriptor.
    """

    descriptor: int
    lines: deque[bytes] = attrs.field(factory=deque)
    held: int = 0
    dropped: int = 0
    waiting: bool = False

    def __attrs_post_init__(self) -> None:
        """Let writes fail instead of waiting."""
        os.set_blocking(self.descriptor, False)

    def write(self, text: str) -> int:
        """Take one line; the newest give way when the reader falls behind."""
        line = text.encode()
        if self.held + len(line) > MOST_HELD:
            self.dropped += 1
            return len(text)
        if self.dropped:
            note = f'{{"event": "log lines dropped", "dropped": {self.dropped}}}\n'
            self.dropped = 0
            self.hold(note.encode())
        self.hold(line)
        return len(text)

    def hold(self, line: bytes) -> None:
        """Add a line to those that wait."""
        self.lines.append(line)
        self.held += len(line)

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self.lines:
            line = self.lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                self.watch()
                return
            except OSError:
                self.lines.clear()
                self.held = 0
                return
            self.held -= written
            if written < len(line):
                self.lines[0] = line[written:]
                continue
            self.lines.popleft()

    def watch(self) -> None:
        """Write again as soon as the descriptor takes bytes."""
        if self.waiting:
            return
        try:
            loop = asyncio.get_running_loop()
            loop.add_writer(self.descriptor, self.resume)
        except (RuntimeError, PermissionError, OSError):
            return
        self.waiting = True

    def resume(self) -> None:
        """Write what has waited."""
        asyncio.get_running_loop().remove_writer(self.descriptor)
        self.waiting = False
        self.flush()
