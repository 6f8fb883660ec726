"""Finds values out of range, all at once."""

import functools
import typing
from collections.abc import Iterator
from typing import Any

import attrs


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
