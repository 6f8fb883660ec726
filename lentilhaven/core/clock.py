"""
Clocks that are passed as arguments.

*Monotonic* time never goes backwards and is the only time compared with
deadlines.  *Wall* time is the time of day; it is written into records for people
and never decides who holds a lease, because the clocks of two VMs differ.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable

import attrs


@attrs.frozen
class Clock:
    """
    Monotonic time, wall time and a sleep function of one clock.

    Attributes
    ----------
    monotonic : callable
        Returns seconds since an arbitrary origin.
    wall : callable
        Returns seconds since 1970-01-01T00:00:00Z.
    sleep : callable
        Coroutine function that sleeps for a number of seconds.
    """

    monotonic: Callable[[], float]
    wall: Callable[[], float]
    sleep: Callable[[float], Awaitable[None]]


def system_clock() -> Clock:
    """
    Return a clock that reads the operating system's time.

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

    On an event loop with virtual time, monotonic and wall time are both virtual.

    Parameters
    ----------
    epoch : float
        Wall time at the loop's origin, in seconds since 1970.
    skew : float
        Seconds by which this clock's wall time is ahead of true time.

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
