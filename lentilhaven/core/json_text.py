"""Reads JSON with comments."""

import json
from typing import Any


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
        # Programs that read plain JSON only do without this library.
        import json5

        return json5.loads(text, allow_duplicate_keys=False)


def join_pairs(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return the object of some pairs, or refuse a key that stands twice."""
    joined = dict(pairs)
    if len(joined) < len(pairs):
        raise ValueError("a key stands twice")
    return joined
