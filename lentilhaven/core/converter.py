"""
The converter between JSON data and attrs classes.

It is strict: a value of the wrong type is an error and is never converted, except
that a float field accepts an integer.
"""

import sys
import typing
from typing import Any, cast

import cattrs
import cattrs.preconf.json
from cattrs.cols import list_structure_factory

#: Largest finite float; a larger integer can't be converted to a float.
LARGEST_FLOAT = sys.float_info.max

CONVERTER = cattrs.preconf.json.make_converter(forbid_extra_keys=True)


def strict_scalar(kind: type) -> Any:
    """
    Return a structure hook that accepts only values of type `kind`.

    The hook for ``float`` also accepts an integer, and rejects infinity and NaN.

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
        # Also rejects NaN, since every comparison with it is false, and integers
        # that are too large for a float.
        number = cast(float, value)
        if kind is float and not -LARGEST_FLOAT <= number <= LARGEST_FLOAT:
            raise ValueError(f"expected a finite number, not {repr(value)[:80]}")
        return kind(value)

    return structure


for _kind in (int, float, str, bool):
    CONVERTER.register_structure_hook(_kind, strict_scalar(_kind))


def strict_list(kind: Any, converter: cattrs.BaseConverter) -> Any:
    """
    Return a structure hook that accepts only a list or a tuple.

    The default hook of cattrs accepts any iterable, even a string.

    Parameters
    ----------
    kind : type
        A list type.
    converter : cattrs.BaseConverter
        Converter that structures the items.
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


def to_document(value: object) -> Any:
    """
    Return an attrs instance, or a collection of them, as plain JSON data.

    Examples
    --------
    >>> to_document((1, 2))
    [1, 2]
    """
    return CONVERTER.unstructure(value)
