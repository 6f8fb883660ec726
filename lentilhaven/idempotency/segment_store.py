"""The interface of the platform's store that the journal uses."""

from typing import Any, Protocol

from expression import Result

from lentilhaven.core.failure import Failure
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.objects.write_outcome import WriteOutcome


class SegmentStore(Protocol):
    """Reads and conditional updates, as implemented by `ObjectClient`."""

    async def read(self, name: str) -> Result[StoredObject | None, Failure]:
        """Read one object; the result is None if it does not exist."""

    async def write(self, name: str, value: Any, expected_version: int) -> WriteOutcome:
        """
        Write an object if it still has `expected_version`.

        Version 0 means that the object does not exist.
        """
