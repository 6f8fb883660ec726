"""
Structured logs: one JSON object per line on standard error.

Every line about a request carries ``request``, ``workspace``, ``step``,
``endpoint`` and ``attempt`` where they are known.  Payloads and tokens are
never logged: an unexpected exception is logged with its type and stack frames
but without its message, which may quote a request.
"""

import logging
import traceback
from pathlib import Path
from typing import Any, TextIO

import structlog

from lentilhaven.core.line_logger import line_logger_factory
from lentilhaven.core.log_limit import LINES_PER_WINDOW, LogLimit
from lentilhaven.core.redaction import redact

#: Log levels in ascending order of severity.
LEVELS = ("debug", "info", "warning", "error", "critical")

#: Maximum number of stack frames that are logged for an exception; the innermost are
#: kept.
MAX_LOGGED_FRAMES = 6

# Until `configure_logs` is called, `structlog` writes human-readable lines to
# standard error.
structlog.configure(logger_factory=line_logger_factory())


def configure_logs(
    level: str = "info",
    stream: TextIO | None = None,
    lines_per_window: int = LINES_PER_WINDOW,
) -> None:
    """
    Configure logging as JSON lines, by default on standard error.

    Log records of libraries that use the standard `logging` module are written the
    same way if their level is at least "warning" and at least `level`.  The handlers
    of the root logger are replaced.

    Parameters
    ----------
    level : str
        Minimum level to write, such as ``"warning"``.
    stream : text file or None
        Output stream; None is standard error.
    lines_per_window : int
        Maximum number of lines with the same component and event in one window of
        `LogLimit`.

    Raises
    ------
    ValueError
        If `level` is not the name of a log level.
    """
    numeric = logging.getLevelNamesMapping().get(level.upper())
    if numeric is None:
        raise ValueError(f"unknown log level: {level!r}")
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            LogLimit(lines_per_window),
            redact,
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(default=str),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(numeric),
        logger_factory=line_logger_factory(stream),
        cache_logger_on_first_use=False,
    )
    root = logging.getLogger()
    root.handlers = [LibraryLogHandler()]
    root.setLevel(max(numeric, logging.WARNING))


class LibraryLogHandler(logging.Handler):
    """Writes log records of libraries without arguments and exception messages."""

    def emit(self, record: logging.LogRecord) -> None:
        """
        Write the first line of a record's message template.

        The fields of `describe_exception` are added if the record has an exception.
        """
        fields: dict[str, Any] = {"component": record.name}
        if record.exc_info and record.exc_info[1] is not None:
            fields |= describe_exception(record.exc_info[1])
        logger = structlog.get_logger()
        logger.log(record.levelno, str(record.msg).partition("\n")[0], **fields)


def get_logger(component: str) -> structlog.stdlib.BoundLogger:
    """
    Return a logger bound to a component's name.

    Parameters
    ----------
    component : str
        Name of the subpackage that writes the lines.
    """
    # Passing initial values returns a lazy proxy, which respects a configuration that
    # is set later.
    return structlog.get_logger(component=component)


def describe_exception(error: BaseException | None) -> dict[str, Any]:
    """
    Return the log fields of an unexpected exception: its type and stack frames.

    At most `MAX_LOGGED_FRAMES` frames are returned, the innermost ones.

    Parameters
    ----------
    error : BaseException or None
        The exception; None gives empty fields.

    Examples
    --------
    >>> describe_exception(ValueError("what a caller sent"))
    {'error': 'ValueError', 'frames': []}
    """
    if error is None:
        return {"error": "", "frames": []}
    frames = traceback.extract_tb(error.__traceback__)[-MAX_LOGGED_FRAMES:]
    locations = [
        f"{Path(frame.filename).name}:{frame.lineno} {frame.name}" for frame in frames
    ]
    return {"error": type(error).__name__, "frames": locations}
