"""
Reading of settings and tables: JSON with comments into attrs classes.

A document is strict: an unknown key, a wrong type or a value out of range is an
error, and all errors of a document are reported together, each with its path.

See Also
--------
lentilhaven.tables : The tables that are read in this way.
"""

from pathlib import Path
from typing import Any, TypeVar

import attrs
import cattrs
import cattrs.preconf.json
import cattrs.strategies
import json5
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step

T = TypeVar("T")

CONVERTER = cattrs.preconf.json.make_converter(forbid_extra_keys=True)


def strict_scalar(kind: type) -> Any:
    """
    Return a hook that accepts values of `kind` and converts nothing.

    Parameters
    ----------
    kind : type
        One of ``int``, ``float``, ``str`` and ``bool``.
    """

    def structure(value: object, _: object) -> object:
        accepted = (int, float) if kind is float else (kind,)
        if isinstance(value, bool) and kind is not bool:
            raise TypeError(f"expected {kind.__name__}, not {value!r}")
        if not isinstance(value, accepted):
            raise TypeError(f"expected {kind.__name__}, not {value!r}")
        return kind(value)

    return structure


for _kind in (int, float, str, bool):
    CONVERTER.register_structure_hook(_kind, strict_scalar(_kind))


def describe_error(error: BaseException, kind: type | None = None) -> str:
    """
    Return a short description of one structuring error.

    Parameters
    ----------
    error : BaseException
        What a hook raised.
    kind : type or None
        The type that was expected.
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
    try:
        return Ok(CONVERTER.structure(document, kind))
    except Exception as error:  # Every hook may raise an exception of its own.
        lines = cattrs.transform_error(error, path="$", format_exception=describe_error)
        messages = sorted(move_path_first(line) for line in lines)
        detail = "; ".join(messages)
        return Error(Failure(Step.SETTINGS, "", "invalid-document", detail))


def move_path_first(message: str) -> str:
    """
    Turn ``text @ path`` into ``path: text``.

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
        document = json5.loads(text)
    except (ValueError, RecursionError) as error:
        return Error(Failure(Step.SETTINGS, "", "invalid-json", str(error)))
    return structure_document(document, kind)


def read_document(path: Path, kind: type[T]) -> Result[T, Failure]:
    """
    Build an instance of `kind` from a file of JSON with comments.

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


def to_document(value: object) -> Any:
    """
    Return plain JSON data for an attrs instance.

    Examples
    --------
    >>> to_document((1, 2))
    [1, 2]
    """
    return CONVERTER.unstructure(value)
