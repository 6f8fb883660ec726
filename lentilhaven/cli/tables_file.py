"""Reads files of tables."""

from pathlib import Path

import attrs
from expression import Error, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.validation import parse_tables


def read_tables_file(path: Path) -> Result[Tables, Failure]:
    """
    Read and validate a file of tables; a failure names the file.

    Parameters
    ----------
    path : Path
        File that holds JSON with comments, in UTF-8.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(Failure(Step.PARSE, str(path), "unreadable-file", str(error)))
    return parse_tables(text).map_error(
        lambda failure: attrs.evolve(failure, peer=str(path))
    )
