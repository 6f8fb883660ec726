"""
Decoding of JSON text in which some values can't be read.

`json.loads` rejects a whole text for one value: bytes that are no UTF-8, a number with
too many digits, or lists within lists beyond the recursion limit.  Where a text holds
values of several writers, `load_partial` decodes those that can be read.
"""

import json
import re
from collections.abc import Callable
from typing import Any

import attrs

from lentilhaven.core.json_scan import find_end, skip_space
from lentilhaven.core.unreadable import Unreadable, UnreadableTexts

DECODER = json.JSONDecoder()

#: Finds the end of a value whose numbers have too many digits.
LENIENT_DECODER = json.JSONDecoder(parse_int=len)

#: A byte that is no UTF-8, as the error handler "surrogateescape" decodes it.
INVALID_BYTE = re.compile("[\udc80-\udcff]")


def load_partial(
    data: bytes,
    levels: int,
    indivisible: frozenset[str] = frozenset(),
    known: UnreadableTexts | None = None,
) -> Any:
    r"""
    Decode a JSON text, with `Unreadable` in place of values that can't be decoded.

    A text without such values is decoded as by `json.loads`.  Otherwise the members of
    each list or object that can't be decoded are decoded one by one.

    Parameters
    ----------
    data : bytes
        JSON text in UTF-8.
    levels : int
        Number of levels of lists and objects that are divided into their members.
    indivisible : frozenset of str
        Keys of members that are decoded as a whole or not at all.
    known : UnreadableTexts or None
        What could not be decoded in earlier texts; None to keep nothing.

    Raises
    ------
    ValueError
        If the text as a whole has no structure of JSON.

    Examples
    --------
    >>> load_partial(b'[{"a": 1}, {"a": "\xe9"}]', levels=1)
    [{'a': 1}, Unreadable(reason='not UTF-8')]
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = data.decode("utf-8", "surrogateescape")
    reader = PartialReader(
        text,
        INVALID_BYTE.search(text) is not None,
        indivisible,
        known if known is not None else UnreadableTexts(max_length=0),
    )
    value, end = reader.divide(skip_space(text, 0), levels, Unreadable("not JSON"))
    if isinstance(value, Unreadable):
        raise ValueError(value.reason)
    if skip_space(text, end) < len(text):
        raise ValueError("text after the end")
    return value


@attrs.frozen
class PartialReader:
    """
    Decodes the values of a text in which some values can't be read.

    Each method takes the position of a value's first character, and returns the value
    and the position behind it.

    Attributes
    ----------
    text : str
        JSON text, decoded with the error handler "surrogateescape".
    has_invalid_bytes : bool
        Whether the text has bytes that are no UTF-8.
    indivisible : frozenset of str
        Keys of members that are decoded as a whole or not at all.
    known : UnreadableTexts
        Values that could not be decoded in earlier texts.
    """

    text: str
    has_invalid_bytes: bool
    indivisible: frozenset[str]
    known: UnreadableTexts

    def read(self, position: int, levels: int) -> tuple[Any, int]:
        """
        Decode a value, divided into its members if that is necessary and allowed.

        Raises
        ------
        ValueError
            If the end of the value can't be found.
        """
        found = None if levels else self.known.find(self.text, position)
        if found is not None:
            return found
        value, end = self.decode(position)
        if end is not None and not isinstance(value, Unreadable):
            return value, end
        return self.divide(position, levels, value, end)

    def divide(
        self, position: int, levels: int, value: Unreadable, end: int | None = None
    ) -> tuple[Any, int]:
        """
        Decode the members of a value that can't be decoded as a whole, if allowed.

        Parameters
        ----------
        position, levels : int
            As in `read`.
        value : Unreadable
            What takes the place of the value if it isn't divided.
        end : int or None
            Position behind the value; None if it is not known.

        Raises
        ------
        ValueError
            If the end of the value can't be found.
        """
        readers: dict[str, Callable[[int, int], tuple[Any, int]]] = {
            "{": self.read_object,
            "[": self.read_list,
        }
        read_members = readers.get(self.text[position : position + 1])
        if levels and read_members is not None:
            try:
                return read_members(position, levels - 1)
            except ValueError:
                value = Unreadable("not JSON")
        if end is None:
            end = self.find_end_of_digits(position) or find_end(self.text, position)
        if read_members is not None and not levels:
            self.known.add(self.text[position:end], value)
        return value, end

    def decode(self, position: int) -> tuple[Any, int | None]:
        """Decode a value as a whole; the position is None if its end is not known."""
        try:
            value, end = DECODER.raw_decode(self.text, position)
        except RecursionError:
            return Unreadable("nested too deeply"), None
        except json.JSONDecodeError:
            return Unreadable("not JSON"), None
        except ValueError:
            return Unreadable("too many digits"), None
        if self.has_invalid_bytes and INVALID_BYTE.search(self.text, position, end):
            return Unreadable("not UTF-8"), end
        return value, end

    def find_end_of_digits(self, position: int) -> int | None:
        """Return the position behind a value with a long number; None if unknown."""
        try:
            return LENIENT_DECODER.raw_decode(self.text, position)[1]
        except (ValueError, RecursionError):
            return None

    def read_list(self, position: int, levels: int) -> tuple[list[Any], int]:
        """Decode a list item by item."""
        found: list[Any] = []
        position = skip_space(self.text, position + 1)
        if self.text.startswith("]", position):
            return found, position + 1
        while True:
            value, position = self.read(position, levels)
            found.append(value)
            position = skip_space(self.text, position)
            if self.text.startswith("]", position):
                return found, position + 1
            position = self.skip_mark(",", position)

    def read_object(self, position: int, levels: int) -> tuple[dict[str, Any], int]:
        """Decode an object member by member, without those of unreadable keys."""
        found: dict[str, Any] = {}
        position = skip_space(self.text, position + 1)
        if self.text.startswith("}", position):
            return found, position + 1
        while True:
            key, position = DECODER.raw_decode(self.text, position)
            if not isinstance(key, str):
                raise ValueError(f"no key at {position}")
            position = self.skip_mark(":", position)
            levels_of_member = 0 if key in self.indivisible else levels
            value, position = self.read(position, levels_of_member)
            if not INVALID_BYTE.search(key):
                found[key] = value
            position = skip_space(self.text, position)
            if self.text.startswith("}", position):
                return found, position + 1
            position = self.skip_mark(",", position)

    def skip_mark(self, mark: str, position: int) -> int:
        """
        Return the position of the value behind a punctuation mark.

        Raises
        ------
        ValueError
            If the mark is missing.
        """
        position = skip_space(self.text, position)
        if not self.text.startswith(mark, position):
            raise ValueError(f"no {mark!r} at {position}")
        return skip_space(self.text, position + 1)
