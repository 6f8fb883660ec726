"""
Clocks that are passed as arguments.

A *monotonic* reading never goes back and is the only one compared with
deadlines.  A *wall* reading is the time of day; it is written into records for
people and is never used to decide who holds a lease, since the clocks of two
VMs differ.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

import attrs


@attrs.frozen
class Clock:
    """
    A source of time.

    Attributes
    ----------
    monotonic : callable
        Returns seconds from an arbitrary origin.
    wall : callable
        Returns seconds since 1970-01-01T00:00:00Z.
    sleep : callable
        Coroutine function that waits for a number of seconds.
    """

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    sleep: Callable[[float], Awaitable[None]]


def system_clock() -> Clock:
    """
    Return the clock of the operating system.

    Examples
    --------
    >>> clock = system_clock()
    >>> clock.monotonic() <= clock.monotonic()
    True
    """
    return Clock(monotonic=time.monotonic, wall=time.time, sleep=asyncio.sleep)


def loop_clock(epoch: float = 0.0, skew: float = 0.0) -> Clock:
    """
    Return a clock that follows the running event loop.

    On an event loop with virtual time both readings are virtual.

    Parameters
    ----------
    epoch : float
        Wall time at the loop's origin, in seconds since 1970.
    skew : float
        Seconds by which this clock's wall reading is ahead of true time.

    Examples
    --------
    >>> async def read():
    ...     return loop_clock(epoch=1000.0).wall() > 1000.0
    >>> asyncio.run(read())
    True
    """

    def monotonic() -> float:
        return asyncio.get_running_loop().time()

    def wall() -> float:
        return epoch + skew + monotonic()

    return Clock(monotonic=monotonic, wall=wall, sleep=asyncio.sleep)
