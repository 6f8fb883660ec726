"""Output of the commands, as JSON or as text."""

import json
import sys
from collections.abc import Sequence
from typing import Any

from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.core.failure import Failure


def print_json(document: Any) -> None:
    """Print a document as JSON."""
    print(json.dumps(document, indent=2, sort_keys=True, default=str))


def print_table(headers: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """
    Print a table with aligned columns.

    Parameters
    ----------
    headers : sequence of str
        Headers of the columns.
    rows : sequence of sequences
        Cells of each row; they are converted to text.

    Examples
    --------
    >>> print_table(["VM", "VERSION"], [["vm-1", 7]])
    VM    VERSION
    vm-1  7
    """
    cells = [[str(cell) for cell in row] for row in (headers, *rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headers))]
    for row in cells:
        line = "  ".join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        print(line.rstrip())


def report_failure(failure: Failure, code: ExitCode = ExitCode.FAILED) -> int:
    """Print a failure to standard error and return the exit code."""
    print(failure, file=sys.stderr)
    return int(code)
