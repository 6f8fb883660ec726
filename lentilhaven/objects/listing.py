"""Results of lists and watches of the object API."""

import attrs

from lentilhaven.objects.stored_object import StoredObject


@attrs.frozen
class Listing:
    """
    Objects with a common prefix, as of one version of the whole store.

    Attributes
    ----------
    version : int
        Version of the store at the time of the read.  A watch that starts after
        this version misses no change.
    objects : list of StoredObject
        Objects sorted by name.
    """

    version: int
    objects: list[StoredObject]
