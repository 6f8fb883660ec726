"""Turns in which connections that cost much time are read."""

import asyncio
from collections import deque
from typing import Protocol

import attrs

#: Seconds of the event loop's time that one connection may take at once.
BURST = 0.01

#: Part of the event loop's time in which one connection pays off what it has taken.
CONNECTION_RATE = 0.05

#: Part of the event loop's time for all connections that wait for turns.  The rest
#: stays for ordinary clients and for the work on requests.
TURNS_SHARE = 0.25

#: Shortest time between two turns, in seconds.
MIN_GAP = 0.001


class Reader(Protocol):
    """A connection whose reading can be paused."""

    debt: float
    charged_at: float

    def hold_back(self) -> None:
        """Stop reading."""

    def release(self) -> None:
        """Read again."""


@attrs.define(eq=False)
class ReadTurns:
    """
    Lets connections that cost much time read one after another.

    Attributes
    ----------
    waiting : deque of Reader
        Connections that are not read until their turn.
    timer : asyncio.TimerHandle or None
        Timer of the next turn.
    last_cost : float
        Time that the last charge took, in seconds.
    """

    waiting: deque[Reader] = attrs.field(factory=deque)
    timer: asyncio.TimerHandle | None = None
    last_cost: float = 0.0

    def charge(self, reader: Reader, cost: float, now: float) -> None:
        """
        Charge a connection for its part of the event loop's time.

        Parameters
        ----------
        reader : Reader
            The connection; it waits for a turn if it has taken more than its part.
        cost : float
            Time that it took, in seconds.
        now : float
            Time of the event loop, in seconds.
        """
        paid = (now - reader.charged_at) * CONNECTION_RATE
        reader.debt = max(0.0, reader.debt - paid) + cost
        reader.charged_at = now
        if reader.debt > BURST:
            reader.hold_back()
            self.waiting.append(reader)
            self.last_cost = cost
            self.schedule()

    def schedule(self) -> None:
        """Start the timer of the next turn."""
        if self.timer is None and self.waiting:
            gap = max(MIN_GAP, self.last_cost * (1 / TURNS_SHARE - 1))
            self.timer = asyncio.get_running_loop().call_later(gap, self.give_turn)

    def give_turn(self) -> None:
        """Let the connection read that has waited longest."""
        self.timer = None
        if self.waiting:
            self.waiting.popleft().release()
        self.schedule()

    def remove(self, reader: Reader) -> None:
        """Forget a connection that has ended."""
        if reader in self.waiting:
            self.waiting.remove(reader)
