"""What the daemons have in common at their start."""

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
UNUSABLE_SETTINGS = 2


class DaemonSettings(Protocol):
    """The settings that every daemon has."""

    @property
    def log_level(self) -> str:
        """Return the least severe level to log."""


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

    Anything that keeps it from starting is one line on standard error and the
    exit code 2.

    Parameters
    ----------
    path : Path
        File of settings, JSON with comments.
    kind : type
        The attrs class of the settings.
    prepare : callable
        Reads the files that the settings name.
    serve : callable
        Serves until the daemon is told to stop, and returns its exit code.
    check : bool
        Only check the settings and the files that they name.
    """
    parsed = read_document(path, kind)
    if parsed.is_error():
        return refuse(path, parsed.error)
    prepared = prepare(parsed.ok)
    if prepared.is_error():
        return refuse(path, prepared.error)
    if check:
        print(f"{path}: valid")
        return 0
    configure_logs(parsed.ok.log_level)
    try:
        return asyncio.run(serve(parsed.ok, prepared.ok))
    except FailureError as error:
        return refuse(path, error.failure)


def refuse(path: Path, failure: Failure) -> int:
    """Say in one line why a daemon can't start."""
    detail = " ".join(failure.detail.split())
    print(f"{path}: {failure.kind}: {detail}", file=sys.stderr)
    return UNUSABLE_SETTINGS
