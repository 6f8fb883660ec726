"""Random inputs for parsers and listeners, near to valid ones."""

import copy
import json
from typing import Any

from hypothesis import strategies as st

#: Values that parsers tend to mishandle.
NASTY: list[Any] = [
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

nasty_values = st.sampled_from(
    [*NASTY, *([value] for value in NASTY), *({"": value} for value in NASTY)]
)

json_values = st.one_of(nasty_values, nasty_values, st.integers(), st.text(max_size=8))


def list_places(document: Any, path: tuple = ()) -> list[tuple]:
    """
    Return the path of every value within a document.

    Examples
    --------
    >>> list_places({"a": [1]})
    [('a',), ('a', 0)]
    """
    places = []
    if isinstance(document, dict):
        inner: Any = list(document.items())
    else:
        inner = list(enumerate(document)) if isinstance(document, list) else []
    for key, value in inner:
        places.append((*path, key))
        places += list_places(value, (*path, key))
    return places


def replace_at(document: Any, place: tuple, value: Any) -> Any:
    """
    Return a copy of a document with one value replaced.

    Examples
    --------
    >>> replace_at({"a": [1, 2]}, ("a", 0), None)
    {'a': [None, 2]}
    """
    changed = copy.deepcopy(document)
    target = changed
    for key in place[:-1]:
        target = target[key]
    target[place[-1]] = value
    return changed


@st.composite
def mutated_documents(draw, documents: list) -> Any:
    """Draw a valid document with up to three values replaced or keys added."""
    document = draw(st.sampled_from(documents))
    for _ in range(draw(st.integers(0, 3))):
        places = list_places(document)
        if not places:
            return draw(json_values)
        place = draw(st.sampled_from(places))
        if isinstance(place[-1], str) and draw(st.booleans()):
            place = (*place[:-1], draw(st.text(max_size=6)))
        document = replace_at(document, place, draw(json_values))
    return document


@st.composite
def mutated_texts(draw, documents: list) -> bytes:
    """Draw the JSON text of a mutated document, sometimes with bytes damaged."""
    text = json.dumps(draw(mutated_documents(documents))).encode()
    kind = draw(st.integers(0, 5))
    if kind == 0:
        return draw(st.binary(max_size=40))
    if kind == 1 and text:
        place = draw(st.integers(0, len(text) - 1))
        return text[:place] + draw(st.binary(max_size=4)) + text[place + 1 :]
    if kind == 2:
        return text[: draw(st.integers(0, len(text)))]
    return text


header_values = st.one_of(
    st.text(st.characters(min_codepoint=33, max_codepoint=255), max_size=20),
    st.sampled_from(["Bearer", "Bearer \xff", "a" * 9000, "x, y;q=z", '"a', "-1"]),
)
