"""
Reading of settings and tables: JSON with comments into attrs classes.

A document is strict: an unknown key, a wrong type or a value out of range is an
error, and all errors of a document are reported together, each with its path.

See Also
--------
lentilhaven.tables : The tables that are read in this way.
"""

import functools
import json
import sys
import typing
from collections.abc import Iterator
from pathlib import Path
from typing import Any, TypeVar, cast

import attrs
import cattrs
import cattrs.preconf.json
import cattrs.strategies
import json5
from cattrs.cols import list_structure_factory
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step

T = TypeVar("T")

LARGEST_FLOAT = sys.float_info.max

CONVERTER = cattrs.preconf.json.make_converter(forbid_extra_keys=True)


def strict_scalar(kind: type) -> Any:
    """
    Return a hook that accepts values of `kind` and converts nothing.

    Parameters
    ----------
    kind : type
        One of ``int``, ``float``, ``str`` and ``bool``.
    """

    def structure(value: Any, _: object) -> object:
        accepted = (int, float) if kind is float else (kind,)
        if isinstance(value, bool) and kind is not bool:
            raise TypeError(f"expected {kind.__name__}, not {value!r}")
        if not isinstance(value, accepted):
            raise TypeError(f"expected {kind.__name__}, not {repr(value)[:80]}")
        # An integer may be too large for a float, and NaN compares as false.
        number = cast(float, value)
        if kind is float and not -LARGEST_FLOAT <= number <= LARGEST_FLOAT:
            raise ValueError(f"expected a finite number, not {repr(value)[:80]}")
        return kind(value)

    return structure


for _kind in (int, float, str, bool):
    CONVERTER.register_structure_hook(_kind, strict_scalar(_kind))


def strict_list(kind: Any, converter: cattrs.BaseConverter) -> Any:
    """
    Return a hook that accepts a JSON array only.

    Anything that can be iterated over, such as a string, would do otherwise.

    Parameters
    ----------
    kind : type
        A list type.
    converter : cattrs.BaseConverter
        Structures the items.
    """
    structure_items = list_structure_factory(kind, converter)

    def structure(value: Any, _: object) -> Any:
        if not isinstance(value, list | tuple):
            raise TypeError(f"expected a list, not {repr(value)[:80]}")
        return structure_items(value, kind)

    return structure


CONVERTER.register_structure_hook_factory(
    lambda kind: typing.get_origin(kind) is list, strict_list
)


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
    messages = set(find_range_errors(document, kind, "$"))
    structured = None
    try:
        with attrs.validators.disabled():
            structured = CONVERTER.structure(document, kind)
    except Exception as error:  # Every hook may raise an exception of its own.
        lines = cattrs.transform_error(error, path="$", format_exception=describe_error)
        messages.update(move_path_first(line) for line in lines)
    if structured is not None and not messages:
        return Ok(structured)
    detail = "; ".join(sorted(messages))
    return Error(Failure(Step.SETTINGS, "", "invalid-document", detail))


def find_range_errors(document: object, kind: Any, path: str) -> Iterator[str]:
    """
    Yield what the validators of an attrs class refuse in parsed JSON.

    The validators are run on the parsed values, so that one pass finds values
    out of range also beside values of a wrong type.

    Parameters
    ----------
    document : object
        Parsed JSON.
    kind : type
        The type that it stands for.
    path : str
        Path of the value.
    """
    if not has_validators(kind):
        return
    if isinstance(document, list):
        inner = typing.get_args(kind)[-1:]
        for index, item in enumerate(document):
            for item_kind in inner:
                yield from find_range_errors(item, item_kind, f"{path}[{index}]")
    if isinstance(document, dict) and attrs.has(kind):
        for field in attrs.fields(kind):
            if field.name in document:
                place = f"{path}.{field.name}"
                yield from judge_value(field, document[field.name], place)


def judge_value(field: attrs.Attribute, value: object, path: str) -> Iterator[str]:
    """Yield what the validators of a field, and those within, say of a value."""
    yield from find_range_errors(value, field.type, path)
    if field.validator is None:
        return
    try:
        field.validator(None, field, value)
    except ValueError as error:
        yield f"{path}: {error}"
    except (TypeError, AttributeError):
        # The value's type is wrong, which structuring reports.
        return


@functools.cache
def has_validators(kind: Any) -> bool:
    """Return whether a type, or a type within it, has validators."""
    inner = [it for it in typing.get_args(kind) if it is not kind]
    if any(has_validators(it) for it in inner):
        return True
    if not isinstance(kind, type) or not attrs.has(kind):
        return False
    fields = attrs.fields(kind)
    return any(it.validator is not None or has_validators(it.type) for it in fields)


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
        document = load_json(text)
    except (ValueError, RecursionError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Error(Failure(Step.SETTINGS, "", "invalid-json", detail))
    return structure_document(document, kind)


def load_json(text: str) -> Any:
    """
    Parse JSON, with comments or without.

    Plain JSON is tried first, because the parser for it is far faster and
    tables with many workspaces are large.

    Parameters
    ----------
    text : str
        JSON5.

    Raises
    ------
    ValueError
        If it is not JSON, or if an object names a key twice.

    Examples
    --------
    >>> load_json("{a: 1, /* one */ }")
    {'a': 1}
    >>> load_json('{"a": 1, "a": 2}')
    Traceback (most recent call last):
        ...
    ValueError: Duplicate key "a" found in object
    """
    try:
        return json.loads(text, object_pairs_hook=join_pairs)
    except ValueError:
        return json5.loads(text, allow_duplicate_keys=False)


def join_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the object of some pairs, or refuse a key that stands twice."""
    joined = dict(pairs)
    if len(joined) < len(pairs):
        raise ValueError("a key stands twice")
    return joined


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
