"""A logger for `structlog` that looks its output stream up for each line."""

import sys
from typing import TextIO

import attrs


@attrs.frozen
class LineLogger:
    """
    Logger at the end of the `structlog` chain that writes each line at once.

    The loggers of `structlog` keep their stream as a dictionary key, which fails
    for an unhashable stream such as a test runner's buffer.

    Attributes
    ----------
    stream : text file or None
        Output stream; None is the value of `sys.stderr` at the time of writing.
    """

    stream: TextIO | None = None

    def msg(self, message: str) -> None:
        """Write one line and flush the stream."""
        stream = self.stream or sys.stderr
        stream.write(message + "\n")
        stream.flush()

    log = debug = info = warning = msg
    error = critical = exception = fatal = failure = msg


def line_logger_factory(stream: TextIO | None = None):
    """
    Return a logger factory for `structlog.configure`.

    Parameters
    ----------
    stream : text file or None
        Output stream; None is standard error.
    """

    def make(*_: object) -> LineLogger:
        return LineLogger(stream)

    return make
