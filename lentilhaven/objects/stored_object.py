"""Objects as the platform stores them."""

from typing import Any

import attrs


@attrs.frozen
class StoredObject:
    """
    An object and the version of it that was read.

    Attributes
    ----------
    name : str
        Path-like name, such as ``"tables/head"``.
    version : int
        Raised by the platform with every write to any object.
    value : Any
        JSON value; None when the object has been deleted.
    """

    name: str
    version: int
    value: Any
