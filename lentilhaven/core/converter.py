"""
The converter between JSON data and attrs classes.

It is strict: nothing is turned into another type.
"""

import sys
import typing
from typing import Any, cast

import cattrs
import cattrs.preconf.json
from cattrs.cols import list_structure_factory

#: Integers beyond it can't be a float.
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


def to_document(value: object) -> Any:
    """
    Return plain JSON data for an attrs instance.

    Examples
    --------
    >>> to_document((1, 2))
    [1, 2]
    """
    return CONVERTER.unstructure(value)
