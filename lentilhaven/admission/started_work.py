"""Rates at which a process starts work, by workspace and priority."""

import math

import attrs

#: Time constant of the exponential decay, in seconds.
TIME_CONSTANT = 1.0

#: Seconds between two decays while work is recorded; each takes time for every rate.
DECAY_INTERVAL = 0.1

#: Tokens per second below which a rate is dropped, so that the memory is bounded by the
#: workspaces that have lately started something.
LEAST_RATE = 1.0


@attrs.define
class StartedWork:
    """
    Measures the tokens of the requests that a process has started for one service.

    Attributes
    ----------
    rates : dict
        Tokens per second by workspace and priority, decayed to the time `updated`.
    updated : float
        Time of the last decay, in seconds.

    Examples
    --------
    >>> work = StartedWork()
    >>> work.record("depot", 0, 100.0, now=0.0)
    >>> work.record("yard", 0, 50.0, now=0.0)
    >>> {key: round(rate) for key, rate in work.by_priority(1.0).items()}
    {0: 55}
    """

    rates: dict[tuple[str, int], float] = attrs.field(factory=dict)
    updated: float = 0.0

    def record(self, workspace: str, priority: int, cost: float, now: float) -> None:
        """Add a request that starts, with its cost in tokens."""
        if now - self.updated >= DECAY_INTERVAL:
            self.decay(now)
        key = workspace, priority
        self.rates[key] = self.rates.get(key, 0.0) + cost / TIME_CONSTANT

    def decay(self, now: float) -> None:
        """Decay all rates to a time."""
        factor = math.exp(min(0.0, self.updated - now) / TIME_CONSTANT)
        self.updated = now
        self.rates = {
            key: rate * factor
            for key, rate in self.rates.items()
            if rate * factor >= LEAST_RATE
        }

    def by_priority(self, now: float) -> dict[int, float]:
        """Return the tokens per second by priority."""
        self.decay(now)
        found: dict[int, float] = {}
        for (_, priority), rate in self.rates.items():
            found[priority] = found.get(priority, 0.0) + rate
        return found
