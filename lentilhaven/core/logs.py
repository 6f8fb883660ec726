"""
Structured logs: one JSON object a line on standard error.

Every line about a request carries ``request``, ``workspace``, ``step``,
``endpoint`` and ``attempt`` where they are known.  Payloads and tokens are
never logged: a defect is logged with its type and place but without its
message, which may quote what a caller sent.
"""

import logging
import traceback
from pathlib import Path
from typing import Any, TextIO

import structlog

from lentilhaven.core.line_logger import line_loggers
from lentilhaven.core.log_limit import LINES_PER_WINDOW, LogLimit
from lentilhaven.core.redaction import redact

#: Levels by rising severity.
LEVELS = ("debug", "info", "warning", "error", "critical")

#: Innermost frames that are logged of a defect.
FRAMES_LOGGED = 6

# Until `configure_logs` is called, lines for people go to standard error.
structlog.configure(logger_factory=line_loggers())


def configure_logs(
    level: str = "info",
    stream: TextIO | None = None,
    lines_per_window: int = LINES_PER_WINDOW,
) -> None:
    """
    Send JSON lines to standard error.

    Lines of libraries that use the standard `logging` go the same way, from
    level "warning" on.

    Parameters
    ----------
    level : str
        Least severe level to write, such as ``"warning"``.
    stream : text file or None
        Where to write; None is standard error.
    lines_per_window : int
        Lines of one text that are written in each window of `LogLimit`.

    Raises
    ------
    ValueError
        If `level` is not a level's name.
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
        logger_factory=line_loggers(stream),
        cache_logger_on_first_use=False,
    )
    root = logging.getLogger()
    root.handlers = [LibraryLogHandler()]
    root.setLevel(max(numeric, logging.WARNING))


class LibraryLogHandler(logging.Handler):
    """Passes lines of libraries on, without their arguments and tracebacks."""

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line."""
        fields: dict[str, Any] = {"component": record.name}
        if record.exc_info and record.exc_info[1] is not None:
            fields |= describe_defect(record.exc_info[1])
        logger = structlog.get_logger()
        logger.log(record.levelno, str(record.msg).partition("\n")[0], **fields)


def get_logger(component: str) -> structlog.stdlib.BoundLogger:
    """
    Return a logger bound to a component's name.

    Parameters
    ----------
    component : str
        Name of the subpackage that writes.
    """
    # Initial values keep the logger lazy, so that it follows later configuration.
    return structlog.get_logger(component=component)


def describe_defect(error: BaseException | None) -> dict[str, Any]:
    """
    Return the type and the place of an unexpected exception.

    Parameters
    ----------
    error : BaseException or None
        What was raised.

    Examples
    --------
    >>> describe_defect(ValueError("what a caller sent"))
    {'error': 'ValueError', 'frames': []}
    """
    if error is None:
        return {"error": "", "frames": []}
    frames = traceback.extract_tb(error.__traceback__)[-FRAMES_LOGGED:]
    places = [f"{Path(it.filename).name}:{it.lineno} {it.name}" for it in frames]
    return {"error": type(error).__name__, "frames": places}
