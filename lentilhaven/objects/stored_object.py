"""Objects of the platform's object API."""

from typing import Any

import attrs


@attrs.frozen
class StoredObject:
    """
    One version of an object.

    Attributes
    ----------
    name : str
        Path-like name, such as ``"tables/head"``.
    version : int
        Version, which the platform increases with every write to any object.
    value : Any
        JSON value; None when the object has been deleted.
    era : int
        Number of times that the store has been restored from a copy; its versions
        count anew from the copy each time.
    """

    name: str
    version: int
    value: Any
    era: int = 0
