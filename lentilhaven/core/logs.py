"""
Structured logs: one JSON object a line on standard error.

Every line about a request carries ``request``, ``workspace``, ``step``,
``endpoint`` and ``attempt`` where they are known.  Payloads and tokens are
never logged.
"""

import logging
import sys

import structlog


def configure_logs(level: str = "info") -> None:
    """
    Send JSON lines to standard error.

    Parameters
    ----------
    level : str
        Least severe level to write, such as ``"warning"``.

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
            structlog.processors.TimeStamper(fmt="iso"),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(numeric),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=False,
    )


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
