"""Collection of all validation errors of a JSON document."""

import functools
import typing
from collections.abc import Iterator
from typing import Any

import attrs


def find_validation_errors(document: object, kind: Any, path: str) -> Iterator[str]:
    """
    Yield the errors of an attrs class's validators for parsed JSON.

    The validators run on the parsed values before structuring, so that values out
    of range are reported together with values of the wrong type.  Only
    attrs classes and lists are searched: values of a ``dict`` or of a union type are
    not validated.

    Parameters
    ----------
    document : object
        Parsed JSON.
    kind : type
        The type that the document describes.
    path : str
        Path of the document, for the error messages.
    """
    if not has_validators(kind):
        return
    if isinstance(document, list):
        type_args = typing.get_args(kind)[-1:]
        for index, item in enumerate(document):
            for item_kind in type_args:
                yield from find_validation_errors(item, item_kind, f"{path}[{index}]")
    if isinstance(document, dict) and attrs.has(kind):
        for field in attrs.fields(kind):
            if field.name in document:
                field_path = f"{path}.{field.name}"
                yield from find_field_errors(field, document[field.name], field_path)


def find_field_errors(
    field: attrs.Attribute, value: object, path: str
) -> Iterator[str]:
    """Yield the errors of the validators of a field and of the types inside it."""
    yield from find_validation_errors(value, field.type, path)
    if field.validator is None:
        return
    try:
        field.validator(None, field, value)
    except ValueError as error:
        yield f"{path}: {error}"
    except (TypeError, AttributeError):
        # The value has the wrong type, which is reported by structuring.
        return


@functools.cache
def has_validators(kind: Any) -> bool:
    """Return whether a type, or a type nested in it, has validators."""
    type_args = [arg for arg in typing.get_args(kind) if arg is not kind]
    if any(has_validators(arg) for arg in type_args):
        return True
    if not isinstance(kind, type) or not attrs.has(kind):
        return False
    fields = attrs.fields(kind)
    return any(
        field.validator is not None or has_validators(field.type) for field in fields
    )
