"""What a list or a watch of the object API answers."""

import attrs

from lentilhaven.objects.stored_object import StoredObject


@attrs.frozen
class Listing:
    """
    Objects below a prefix, as of one version of the whole store.

    Attributes
    ----------
    version : int
        Version of the store when it was read.  A watch that starts after it
        misses nothing.
    objects : list of StoredObject
        In order of name.
    """

    version: int
    objects: list[StoredObject]
