"""
A token bucket for writes to the store.

Each shard of timed keys has a budget of its own, kept by its owner, so that the
writes of the whole fleet follow the number of shards and neither nodes nor
requests.  What comes while the budget is waited for is committed together.
"""

import attrs

from lentilhaven.core.clock import Clock

#: Writes a second of the whole fleet to the shards of timed keys.
FLEET_WRITE_RATE = 300.0

#: Writes that one shard may make at once after a pause.
SHARD_BURST = 6.0


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
