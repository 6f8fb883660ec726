"""Times at which replicas were harmed, and requests lost beside sound ones."""

import asyncio
import math
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

#: Longest silence of a replica that counts as sound, in seconds.
MAX_SILENCE = 1.5

#: Seconds after the end of a fault during which its replica does not count as sound.
FAULT_SLACK = 1.0


@attrs.define(eq=False)
class Soundness:
    """
    Times at which replicas were harmed.

    Attributes
    ----------
    spans : list of list
        Replica id, begin and end of each fault; times of the event loop, in seconds.
    is_silent : bool
        Whether a silence is in force or has just ended.
    """

    spans: list[list] = attrs.field(factory=list)
    is_silent: bool = False

    @contextmanager
    def harmed(self, replica_id: str) -> Iterator[None]:
        """Record that a replica is harmed until the context ends."""
        loop = asyncio.get_running_loop()
        span = [replica_id, loop.time(), math.inf]
        self.spans.append(span)
        try:
            yield
        finally:
            span[2] = loop.time() + FAULT_SLACK

    @contextmanager
    def silence(self) -> Iterator[None]:
        """Record that some replicas are silent until the context ends."""
        self.is_silent = True
        try:
            yield
        finally:
            self.is_silent = False

    def is_sound(self, replica_id: str, begin: float, end: float) -> bool:
        """Return whether no fault harmed a replica between two times."""
        return not any(
            it == replica_id and since <= end and until >= begin
            for it, since, until in self.spans
        )
