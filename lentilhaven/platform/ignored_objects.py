"""Log lines about objects in the store that are ignored."""

from collections import OrderedDict

import attrs

from lentilhaven.core.logs import get_logger
from lentilhaven.core.store_position import StorePosition
from lentilhaven.platform.store_page import ObjectChange

#: Maximum number of objects that are remembered; beyond it, the one that was logged
#: first may be logged again.
MAX_REMEMBERED = 1000

#: Maximum number of characters of a name in a log line.
MAX_LOGGED_NAME = 128

log = get_logger("store")


@attrs.define
class IgnoredObjects:
    """
    Logs the objects of one kind that are ignored, each revision once.

    Attributes
    ----------
    kind : str
        Kind of the objects.
    logged : OrderedDict
        Position of the last change that was logged, by name.
    unnamed : int
        Number of objects without a readable name in the last listing.
    """

    kind: str
    logged: OrderedDict[str, StorePosition] = attrs.field(factory=OrderedDict)
    unnamed: int = 0

    def note(self, change: ObjectChange, reason: str, is_error: bool = False) -> None:
        """
        Log that an object is ignored.

        Parameters
        ----------
        change : ObjectChange
            The object.
        reason : str
            Why it is ignored.
        is_error : bool
            Whether the process needs the object.
        """
        if self.logged.get(change.name) == change.position:
            return
        self.logged[change.name] = change.position
        if len(self.logged) > MAX_REMEMBERED:
            self.logged.popitem(last=False)
        write = log.error if is_error else log.warning
        write(
            "object ignored",
            kind=self.kind,
            name=change.name[:MAX_LOGGED_NAME],
            position=str(change.position),
            reason=reason,
        )

    def note_unnamed(self, count: int) -> None:
        """Log the number of objects whose names can't be read, if it has changed."""
        if count != self.unnamed:
            self.unnamed = count
            log.warning("objects without a name ignored", kind=self.kind, count=count)
