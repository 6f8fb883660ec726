"""Decoding of the objects in the answers of the platform's store."""

import re
from typing import Any

import attrs

from lentilhaven.core.json_numbers import is_count
from lentilhaven.core.partial_json import load_partial
from lentilhaven.core.store_position import StorePosition
from lentilhaven.core.unreadable import Unreadable, UnreadableTexts

#: Levels of an answer down to the members of an object's metadata: the answer, its
#: list, an event, the object and the metadata.
PAGE_LEVELS = 5

#: Members of an object that have no usable value if any part of them can't be read.
CONTENTS = frozenset({"spec", "status"})

#: A code point that no text in UTF-8 holds.
SURROGATE = re.compile("[\ud800-\udfff]")


@attrs.frozen
class ObjectChange:
    """
    Current state of an object that was listed or has changed.

    Attributes
    ----------
    name : str
        Name of the object.
    position : StorePosition
        Position of the store at its last change.
    value : Any
        Content of the object; None if it has been deleted or can't be read.
    fault : str
        Why the content can't be read; empty if it can.
    """

    name: str
    position: StorePosition
    value: Any
    fault: str = ""


def load_page(body: bytes, known: UnreadableTexts | None = None) -> Any:
    """
    Decode an answer of the store.

    What can't be read of an object is replaced by `Unreadable`: the objects of a kind
    may have several writers.

    Parameters
    ----------
    body : bytes
        Body of the answer.
    known : UnreadableTexts or None
        What could not be decoded in earlier answers; None to keep nothing.

    Raises
    ------
    ValueError
        If the answer is no JSON.
    """
    return load_partial(body, PAGE_LEVELS, CONTENTS, known)


def decode_change(item: Any, deleted: bool, era: int) -> ObjectChange | None:
    """
    Decode one object; one that is being deleted counts as deleted.

    Parameters
    ----------
    item : Any
        The object; any of its parts may be malformed.
    deleted : bool
        Whether the object has been deleted.
    era : int
        Era of the store.

    Returns
    -------
    ObjectChange or None
        None if the object has no name that can be read.
    """
    name = object_name(item)
    if name is None:
        return None
    meta = item["metadata"]
    position = StorePosition(era, decode_revision(meta.get("rev")) or 0)
    if deleted or meta.get("is_deleting"):
        return ObjectChange(name, position, None)
    value = item.get("spec")
    if isinstance(value, Unreadable):
        return ObjectChange(name, position, None, value.reason)
    return ObjectChange(name, position, value)


def object_name(item: Any) -> str | None:
    """
    Return the name of an object, or None if it can't be read.

    Examples
    --------
    >>> object_name({"metadata": {"name": "i-1"}}), object_name({"metadata": []})
    ('i-1', None)
    """
    meta = item.get("metadata") if isinstance(item, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    if not isinstance(name, str) or not name:
        return None
    return name if name.isascii() or not SURROGATE.search(name) else None


def decode_revision(value: Any) -> int | None:
    """
    Return a revision of the store, or None if it is none.

    Examples
    --------
    >>> decode_revision(7), decode_revision(float("inf")), decode_revision(True)
    (7, None, None)
    """
    return value if is_count(value) else None
