"""A token bucket for writes to the store."""

import attrs

from lentilhaven.core.clock import Clock


@attrs.define
class WriteBudget:
    """
    Spaces writes so that their rate stays within a share of the store's.

    Attributes
    ----------
    clock : Clock
        Source of time.
    rate : float
        Writes a second in the long run.
    burst : float
        Writes that may follow each other at once.
    available : float
        Writes that may be made now; negative while writers wait.
    updated : float
        Monotonic time at which `available` was right, in seconds.
    """

    clock: Clock
    rate: float
    burst: float
    available: float = attrs.field(default=attrs.Factory(lambda it: it.burst, True))
    updated: float = 0.0

    async def take(self) -> None:
        """Wait until one more write is within the budget."""
        now = self.clock.monotonic()
        earned = max(0.0, now - self.updated) * self.rate
        self.available = min(self.burst, self.available + earned) - 1.0
        self.updated = now
        if self.available < 0:
            await self.clock.sleep(-self.available / self.rate)
