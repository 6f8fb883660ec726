"""Writes log lines to a stream that is looked up for each line."""

import sys
from typing import TextIO

import attrs


@attrs.frozen
class LineLogger:
    """
    The last link of `structlog`: one write for each line.

    The logger of `structlog` itself keeps its stream in a dictionary, which
    fails for a stream that can't be hashed, such as a test runner's buffer.

    Attributes
    ----------
    stream : text file or None
        Where to write; None is whatever standard error is at the time.
    """

    stream: TextIO | None = None

    def msg(self, message: str) -> None:
        """Write one line."""
        stream = self.stream or sys.stderr
        stream.write(message + "\n")
        stream.flush()

    log = debug = info = warning = msg
    error = critical = exception = fatal = failure = msg


def line_loggers(stream: TextIO | None = None):
    """
    Return a factory of loggers that write to a stream.

    Parameters
    ----------
    stream : text file or None
        Where to write; None is standard error.
    """

    def make(*_: object) -> LineLogger:
        return LineLogger(stream)

    return make
