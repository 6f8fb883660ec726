"""
A token bucket for writes to the store.

Each shard of timed keys has a separate budget, kept by its owner, so that the
write rate of the whole fleet depends on the number of shards and on neither the
number of VMs nor the number of requests.  Operations that arrive while a write
waits for the budget are committed in that write.
"""

import attrs

from lentilhaven.core.clock import Clock

#: Sustained rate of writes of the whole fleet to the shards of timed keys, in
#: writes per second.
FLEET_WRITE_RATE = 300.0

#: Number of writes that one shard may make in a burst.
SHARD_BURST = 6.0


@attrs.define
class WriteBudget:
    """
    Delays writes so that their rate stays within a share of the store's capacity.

    Attributes
    ----------
    clock : Clock
        Source of time.
    rate : float
        Sustained rate, in writes per second.
    burst : float
        Capacity of the bucket, in writes.
    tokens : float
        Number of writes that may be made now; negative while writers wait.
    updated : float
        Monotonic time at which `tokens` was last updated, in seconds.
    """

    clock: Clock
    rate: float
    burst: float
    tokens: float = attrs.field(
        default=attrs.Factory(lambda budget: budget.burst, True)
    )
    updated: float = 0.0

    async def take(self) -> None:
        """Take one token, and wait until the budget allows the write."""
        now = self.clock.monotonic()
        earned = max(0.0, now - self.updated) * self.rate
        self.tokens = min(self.burst, self.tokens + earned) - 1.0
        self.updated = now
        if self.tokens < 0:
            await self.clock.sleep(-self.tokens / self.rate)
