"""
Positions in the history of a store that may be restored from a copy.

A store counts its changes by a revision.  If it is restored from a copy, the
revisions after the copy are given out again, for other changes.  Its era, which rises
with each restore, tells them apart.
"""

import attrs


@attrs.frozen(order=True)
class StorePosition:
    """
    A revision of a store within an era; positions are ordered by era first.

    Attributes
    ----------
    era : int
        Number of times that the store has been restored.
    revision : int
        Revision of the store within the era.

    Examples
    --------
    >>> StorePosition(1, 90) > StorePosition(0, 105)
    True
    >>> str(StorePosition(1, 90))
    '1/90'
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        """Return the era and the revision, for logs."""
        return f"{self.era}/{self.revision}"


#: Position before all changes.
START = StorePosition()
