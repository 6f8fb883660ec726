"""The object that names the tables in force."""

from typing import Any

import attrs

#: Name of the head object.
HEAD_NAME = "tables/head"

#: Prefix of the names of parts.
PART_PREFIX = "tables/parts/"

#: Prefix of the names of former heads.
HISTORY_PREFIX = "tables/history/"


@attrs.frozen
class TableHead:
    """
    The version in force and the parts that it consists of.

    Attributes
    ----------
    version : int
        Rises by one with every edit; 0 before the first.
    edit : str
        Unique id of the edit that made this version.
    author : str
        Who made the edit.
    parts : list of str
        Content hashes of the parts.
    object_version : int
        Version of the head object as the platform counts it.
    inline : dict
        Documents of the parts that the edit made, by content hash, if they are
        small: whoever sees the head needs no further call to the store.
    """

    version: int = 0
    edit: str = ""
    author: str = ""
    parts: list[str] = attrs.field(factory=list)
    object_version: int = 0
    inline: dict[str, Any] = attrs.field(factory=dict)


def history_name(version: int) -> str:
    """
    Return the name of the object that keeps a former head.

    Examples
    --------
    >>> history_name(7)
    'tables/history/0000000007'
    """
    return f"{HISTORY_PREFIX}{version:010d}"
