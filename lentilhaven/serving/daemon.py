"""Startup that all daemons share."""

import asyncio
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, Protocol, TypeVar

from expression import Result

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.logs import configure_logs
from lentilhaven.core.settings import read_document

#: Exit code of a daemon that can't start with its settings.
STARTUP_FAILURE_EXIT_CODE = 2


class DaemonSettings(Protocol):
    """Settings that every daemon has."""

    @property
    def log_level(self) -> str:
        """Return the minimum level to log."""


S = TypeVar("S", bound=DaemonSettings)
P = TypeVar("P")


def run_daemon(
    path: Path,
    kind: type[S],
    prepare: Callable[[S], Result[P, Failure]],
    serve: Callable[[S, P], Coroutine[Any, Any, int]],
    check: bool,
) -> int:
    """
    Read the settings of a daemon and run it; return its exit code.

    An error that prevents the start is reported as one line on standard error and
    exit code 2.

    Parameters
    ----------
    path : Path
        File of settings, in JSON with comments.
    kind : type
        The attrs class of the settings.
    prepare : callable
        Reads the files that the settings refer to, and returns what `serve` needs.
    serve : callable
        Serves until the daemon is stopped, and returns its exit code.
    check : bool
        Whether to only check the settings and the files that they refer to.
    """
    parsed = read_document(path, kind)
    if parsed.is_error():
        return report_startup_failure(path, parsed.error)
    prepared = prepare(parsed.ok)
    if prepared.is_error():
        return report_startup_failure(path, prepared.error)
    if check:
        print(f"{path}: valid")
        return 0
    configure_logs(parsed.ok.log_level)
    try:
        return asyncio.run(serve(parsed.ok, prepared.ok))
    except FailureError as error:
        return report_startup_failure(path, error.failure)


def report_startup_failure(path: Path, failure: Failure) -> int:
    """Print in one line why a daemon can't start, and return the exit code."""
    detail = " ".join(failure.detail.split())
    print(f"{path}: {failure.kind}: {detail}", file=sys.stderr)
    return STARTUP_FAILURE_EXIT_CODE
