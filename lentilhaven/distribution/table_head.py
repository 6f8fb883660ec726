"""The object that lists the parts of the current tables."""

from typing import Any

import attrs

#: Object name of the current head.
HEAD_NAME = "tables/head"

#: Prefix of the object names of parts.
PART_PREFIX = "tables/parts/"

#: Prefix of the object names of earlier heads.
HISTORY_PREFIX = "tables/history/"


@attrs.frozen
class TableHead:
    """
    A version of the tables and the parts that it consists of.

    Attributes
    ----------
    version : int
        Version number, increased by one with every edit; 0 before the first edit.
    edit : str
        Unique id of the edit that created this version.
    author : str
        Author of the edit.
    parts : list of str
        Content hashes of the parts, in the order in which `split_tables` returns them.
    object_version : int
        Version of the head object in the platform's store; 0 in the stored form.
    inline : dict
        New parts of the edit, by content hash; empty if together they exceed
        `INLINE_LIMIT` (see `commit_tables`).  They save the readers of the head further
        calls to the store.
    """

    version: int = 0
    edit: str = ""
    author: str = ""
    parts: list[str] = attrs.field(factory=list)
    object_version: int = 0
    inline: dict[str, Any] = attrs.field(factory=dict)


def history_name(version: int) -> str:
    """
    Return the object name of an earlier head.

    Examples
    --------
    >>> history_name(7)
    'tables/history/0000000007'
    """
    return f"{HISTORY_PREFIX}{version:010d}"
