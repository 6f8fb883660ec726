"""Hypothesis strategies for inputs that are almost valid."""

import copy
import json
from typing import Any

from hypothesis import strategies as st

#: Values that parsers often mishandle.
EDGE_CASES: list[Any] = [
    None,
    True,
    0,
    -1,
    2**63,
    10**400,
    1e308,
    5e-324,
    "",
    " ",
    "\x00",
    chr(0xD800),
    "\u202e",
    "a" * 5000,
    "NaN",
    "../../x",
    "%00%ff",
    [],
    [[]],
    {},
    {"": ""},
    {"__class__": "x"},
    float("inf"),
    float("nan"),
]

edge_case_values = st.sampled_from(
    [
        *EDGE_CASES,
        *([value] for value in EDGE_CASES),
        *({"": value} for value in EDGE_CASES),
    ]
)

# Edge cases are listed twice, so that they are drawn more often.
json_values = st.one_of(
    edge_case_values, edge_case_values, st.integers(), st.text(max_size=8)
)


def list_paths(document: Any, path: tuple = ()) -> list[tuple]:
    """
    Return the paths of all values within a document.

    Examples
    --------
    >>> list_paths({"a": [1]})
    [('a',), ('a', 0)]
    """
    paths = []
    if isinstance(document, dict):
        items: Any = list(document.items())
    else:
        items = list(enumerate(document)) if isinstance(document, list) else []
    for key, value in items:
        paths.append((*path, key))
        paths += list_paths(value, (*path, key))
    return paths


def replace_at(document: Any, path: tuple, value: Any) -> Any:
    """
    Return a copy of a document with the value at a path replaced or added.

    Examples
    --------
    >>> replace_at({"a": [1, 2]}, ("a", 0), None)
    {'a': [None, 2]}
    """
    changed = copy.deepcopy(document)
    target = changed
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = value
    return changed


@st.composite
def mutated_documents(draw, documents: list) -> Any:
    """Draw a valid document, then replace values or add keys up to three times."""
    document = draw(st.sampled_from(documents))
    for _ in range(draw(st.integers(0, 3))):
        paths = list_paths(document)
        if not paths:
            return draw(json_values)
        path = draw(st.sampled_from(paths))
        if isinstance(path[-1], str) and draw(st.booleans()):
            path = (*path[:-1], draw(st.text(max_size=6)))
        document = replace_at(document, path, draw(json_values))
    return document


@st.composite
def mutated_texts(draw, documents: list) -> bytes:
    """Draw a mutated document as JSON text, sometimes corrupted or truncated."""
    text = json.dumps(draw(mutated_documents(documents))).encode()
    kind = draw(st.integers(0, 5))
    if kind == 0:
        return draw(st.binary(max_size=40))
    if kind == 1 and text:
        offset = draw(st.integers(0, len(text) - 1))
        return text[:offset] + draw(st.binary(max_size=4)) + text[offset + 1 :]
    if kind == 2:
        return text[: draw(st.integers(0, len(text)))]
    return text


header_values = st.one_of(
    st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=20),
    st.sampled_from(["Bearer", "Bearer \xff", "a" * 9000, "x, y;q=z", '"a', "-1"]),
)
