"""Parser of JSON with comments."""

import json
from typing import Any


def load_json(text: str) -> Any:
    """
    Parse JSON with or without comments.

    The text is parsed as plain JSON first, because that parser is far faster and
    tables with many workspaces are large.

    Parameters
    ----------
    text : str
        JSON5, a superset of JSON with comments.

    Raises
    ------
    ValueError
        If the text is not valid JSON5, or if an object contains a key twice.
    RecursionError
        If the text is nested too deeply.

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
        return json.loads(text, object_pairs_hook=reject_duplicate_keys)
    except ValueError:
        # `json5` also rejects duplicate keys, and its error message names the key.  It
        # is imported here so that programs which only read plain JSON do not need it.
        import json5

        return json5.loads(text, allow_duplicate_keys=False)


def reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    """Return an object's pairs as a dictionary, and reject duplicate keys."""
    result = dict(pairs)
    if len(result) < len(pairs):
        raise ValueError("duplicate key in a JSON object")
    return result
