"""What a process has lately started of a service, by priority and workspace."""

import math

import attrs

from lentilhaven.peering.queue_state import MAX_HEAVY, heaviest

#: Time constant of the exponential decay, in seconds.  A process starts about one
#: request a second, so that a shorter one would show single requests.
TIME_CONSTANT = 2.0

#: Tokens per second below which a rate is forgotten; a datagram states it as zero.
MIN_RATE = 1 / 16

#: Maximum number of workspaces, counted once for each priority, whose rates are kept.
#: Beyond it the lighter half is forgotten.
MAX_TRACKED = 64 * MAX_HEAVY


@attrs.define
class DecayingRate:
    """
    A rate of work that decays exponentially.

    Attributes
    ----------
    value : float
        Tokens per second at the time `updated`.
    updated : float
        Time of the last addition, in seconds.
    """

    value: float = 0.0
    updated: float = 0.0

    def current(self, now: float) -> float:
        """Return the tokens per second at a time."""
        return self.value * math.exp(min(0.0, self.updated - now) / TIME_CONSTANT)

    def add(self, cost: float, now: float) -> None:
        """Add work of some cost in tokens."""
        self.value = self.current(now) + cost / TIME_CONSTANT
        self.updated = now


@attrs.define
class StartRates:
    """
    Rates of started work of one service.

    Attributes
    ----------
    priorities : dict
        `DecayingRate` by priority.
    workspaces : dict
        `DecayingRate` by workspace and priority.

    Examples
    --------
    >>> rates = StartRates()
    >>> rates.record("depot", 0, 800.0, now=5.0)
    >>> rates.by_priority(5.0), rates.heavy(5.0)
    ({0: 400.0}, (('depot', 0, 400.0),))
    >>> rates.by_priority(60.0)
    {}
    """

    priorities: dict[int, DecayingRate] = attrs.field(factory=dict)
    workspaces: dict[tuple[str, int], DecayingRate] = attrs.field(factory=dict)

    def record(self, workspace: str, priority: int, cost: float, now: float) -> None:
        """
        Count a request that starts.

        Parameters
        ----------
        workspace : str
            Workspace of the caller; empty for an anonymous one.
        priority : int
            Its priority.
        cost : float
            Cost of the request, in tokens.
        now : float
            Current time, in seconds.
        """
        self.priorities.setdefault(priority, DecayingRate()).add(cost, now)
        key = (workspace, priority)
        self.workspaces.setdefault(key, DecayingRate()).add(cost, now)
        if len(self.workspaces) > MAX_TRACKED:
            self.drop_light(now)

    def drop_light(self, now: float) -> None:
        """Forget the lighter half of the workspaces."""
        order = sorted(
            self.workspaces, key=lambda key: self.workspaces[key].current(now)
        )
        for key in order[: len(order) // 2]:
            del self.workspaces[key]

    def by_priority(self, now: float) -> dict[int, float]:
        """Return the tokens per second of started work, by priority."""
        self.expire(now)
        return {key: rate.current(now) for key, rate in self.priorities.items()}

    def heavy(self, now: float) -> tuple[tuple[str, int, float], ...]:
        """Return the workspaces with the highest rates (see `QueueState.heavy`)."""
        self.expire(now)
        return heaviest(
            {key: rate.current(now) for key, rate in self.workspaces.items()}
        )

    def expire(self, now: float) -> None:
        """Forget rates below `MIN_RATE`."""
        self.priorities = {
            key: rate
            for key, rate in self.priorities.items()
            if rate.current(now) >= MIN_RATE
        }
        self.workspaces = {
            key: rate
            for key, rate in self.workspaces.items()
            if rate.current(now) >= MIN_RATE
        }
