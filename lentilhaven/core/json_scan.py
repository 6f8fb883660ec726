"""Search for the ends of JSON values that are not decoded."""

import re

SPACE = re.compile(r"[ \t\n\r]*")

STRING = re.compile(r'"[^"\\]*(?:\\.[^"\\]*)*"', re.DOTALL)

#: A string, a quotation mark that begins none, or a run of opening or closing brackets.
TOKEN = re.compile(STRING.pattern + r'|"|[\[{]+|[\]}]+', re.DOTALL)

#: A number or a literal name.
SCALAR = re.compile(r'[^\s,:"\[\]{}]+')


def skip_space(text: str, position: int) -> int:
    """Return the position of the first character that is no space."""
    match = SPACE.match(text, position)
    return match.end() if match is not None else position


def find_end(text: str, position: int) -> int:
    """
    Return the position behind a value, which is not decoded.

    The brackets of a list or an object are only counted, so that its depth doesn't
    matter.

    Parameters
    ----------
    text : str
        JSON text.
    position : int
        Position of the value's first character.

    Raises
    ------
    ValueError
        If the value has no end.

    Examples
    --------
    >>> find_end('[[1, "]"], 2], 3', 0)
    13
    """
    if text[position : position + 1] in ("[", "{"):
        return find_closing_bracket(text, position)
    match = STRING.match(text, position) or SCALAR.match(text, position)
    if match is None:
        raise ValueError(f"no value at {position}")
    return match.end()


def find_closing_bracket(text: str, position: int) -> int:
    """
    Return the position behind the bracket that closes the one at `position`.

    Raises
    ------
    ValueError
        If there is none.
    """
    depth = 0
    for match in TOKEN.finditer(text, position):
        start, end = match.span()
        if text[start] in "[{":
            depth += end - start
        elif text[start] in "]}":
            if end - start >= depth:
                return start + depth
            depth -= end - start
        elif end - start == 1:
            # A quotation mark that begins no string.
            break
    raise ValueError(f"no end of the value at {position}")
