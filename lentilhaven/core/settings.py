"""
Parser of settings and tables: converts JSON with comments to attrs classes.

Parsing is strict: an unknown key, a wrong type or a value out of range is an
error, and all errors of a document are reported together, each with its path.

See Also
--------
lentilhaven.tables : The tables that this parser reads.
"""

from pathlib import Path
from typing import TypeVar

import attrs
import cattrs
from expression import Error, Ok, Result

from lentilhaven.core.converter import CONVERTER
from lentilhaven.core.failure import Failure
from lentilhaven.core.json_text import load_json
from lentilhaven.core.step import Step
from lentilhaven.core.validation_errors import find_validation_errors

T = TypeVar("T")


def describe_error(error: BaseException, kind: type | None = None) -> str:
    """
    Return a short description of one structuring error.

    Parameters
    ----------
    error : BaseException
        The exception that a structure hook raised.
    kind : type or None
        Unused; `cattrs.transform_error` passes the expected type.
    """
    if isinstance(error, KeyError):
        return f"required key {error.args[0]!r} is missing"
    if isinstance(error, cattrs.errors.ForbiddenExtraKeysError):
        return f"unknown keys {sorted(error.extra_fields)}"
    return str(error)


def structure_document(document: object, kind: type[T]) -> Result[T, Failure]:
    """
    Build an instance of `kind` from parsed JSON.

    Parameters
    ----------
    document : object
        Parsed JSON.
    kind : type
        An attrs class.

    Returns
    -------
    Result
        The instance, or one failure that lists every error with its path.

    Examples
    --------
    >>> @attrs.frozen
    ... class Listener:
    ...     host: str
    ...     port: int = 80
    >>> structure_document({"host": "::1"}, Listener).ok
    Listener(host='::1', port=80)
    >>> structure_document({"host": 1, "prot": 2}, Listener).error.detail
    "$.host: expected str, not 1; $: unknown keys ['prot']"
    """
    messages = set(find_validation_errors(document, kind, "$"))
    structured = None
    try:
        # `find_validation_errors` has already run the validators.
        with attrs.validators.disabled():
            structured = CONVERTER.structure(document, kind)
    except Exception as error:  # A structure hook may raise any exception.
        lines = cattrs.transform_error(error, path="$", format_exception=describe_error)
        messages.update(move_path_first(line) for line in lines)
    if structured is not None and not messages:
        return Ok(structured)
    detail = "; ".join(sorted(messages))
    return Error(Failure(Step.SETTINGS, "", "invalid-document", detail))


def move_path_first(message: str) -> str:
    """
    Convert an error message from ``text @ path`` to ``path: text``.

    Examples
    --------
    >>> move_path_first("expected int @ $.port")
    '$.port: expected int'
    """
    text, separator, path = message.rpartition(" @ ")
    return f"{path}: {text}" if separator else message


def parse_document(text: str, kind: type[T]) -> Result[T, Failure]:
    """
    Build an instance of `kind` from JSON with comments.

    Parameters
    ----------
    text : str
        JSON5, a superset of JSON with comments.
    kind : type
        An attrs class.
    """
    try:
        document = load_json(text)
    except (ValueError, RecursionError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Error(Failure(Step.SETTINGS, "", "invalid-json", detail))
    return structure_document(document, kind)


def read_document(path: Path, kind: type[T]) -> Result[T, Failure]:
    """
    Build an instance of `kind` from a file of JSON with comments.

    A failure names the file as its `peer`.

    Parameters
    ----------
    path : Path
        File to read, in UTF-8.
    kind : type
        An attrs class.
    """
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Error(Failure(Step.SETTINGS, str(path), "unreadable-file", str(error)))
    return parse_document(text, kind).map_error(
        lambda failure: attrs.evolve(failure, peer=str(path))
    )
