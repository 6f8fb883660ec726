"""The era of the platform's store, as far as a process knows it."""

import attrs

from lentilhaven.core.logs import get_logger
from lentilhaven.core.store_position import StorePosition

log = get_logger("store")


@attrs.define
class StoreEra:
    """
    The newest known era of the store.

    Attributes
    ----------
    current : int
        Newest era that any answer of the store, or any other gateway, has named.
    first : int or None
        Era that was learnt first; None before any answer.

    Examples
    --------
    >>> era = StoreEra()
    >>> era.learn(3, "store"), era.restored
    (False, False)
    >>> era.learn(4, "store"), era.restored
    (True, True)
    >>> era.learn(3, "a late answer"), era.current
    (False, 4)
    """

    current: int = 0
    first: int | None = None

    @property
    def restored(self) -> bool:
        """Return whether the store was restored since the first answer."""
        return self.first is not None and self.current > self.first

    def learn(self, era: int, source: str) -> bool:
        """
        Take note of an era, and return whether it shows that the store was restored.

        Parameters
        ----------
        era : int
            Era named by the source.
        source : str
            Where the era was read, for the log.
        """
        if self.first is None:
            self.first = self.current = era
            log.info("store era known", era=era, source=source)
            return False
        if era <= self.current:
            return False
        log.warning("store restored", before=self.current, era=era, source=source)
        self.current = era
        return True

    def position(self, era: int | None, revision: int) -> StorePosition:
        """
        Return the position that another gateway states.

        Parameters
        ----------
        era : int or None
            Era that it states; None from a release that knows no eras.  Its revision
            then counts as one of the current era until the store is restored, and as
            older than any other position afterwards, since nothing tells whether the
            gateway has noticed the restore.
        revision : int
            Revision that it states.
        """
        if era is None:
            era = 0 if self.restored else self.current
        return StorePosition(era, revision)
