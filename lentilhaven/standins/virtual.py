"""
Virtual time: real servers and clients over in-memory connections.

The event loop of `async_solipsism` advances its clock whenever nothing can run,
so that a scenario of an hour takes as long as its computations.  aiohttp opens
sockets itself; the connector here asks the loop instead.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, TypeVar

import aiohttp
import async_solipsism

T = TypeVar("T")

#: Longest wait that the event loop asks its selector for, in seconds.
LONGEST_TIMER = 86_400.0


class VirtualConnector(aiohttp.TCPConnector):
    """Opens connections through the event loop, by host and port."""

    async def _wrap_create_connection(
        self, *args: Any, addr_infos: Any, req: Any, timeout: Any, **kwargs: Any
    ) -> Any:
        """Connect to the first address with the loop's own transport."""
        for name in ("client_error", "server_hostname", "ssl", "local_addr", "sock"):
            kwargs.pop(name, None)
        host, port = addr_infos[0][4][:2]
        try:
            connect: Any = self._loop.create_connection
            return await connect(*args, host=host, port=port)
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error


class NotifyingQueue(async_solipsism.socket.Queue):
    """One direction of an in-memory connection that tells of what arrives."""

    on_arrival: Callable[[], None] | None = None

    def write(self, data: Any) -> int:
        """Add bytes and tell the reader's selector."""
        written = super().write(data)
        if self.on_arrival is not None:
            self.on_arrival()
        return written

    def write_eof(self) -> None:
        """Close the direction and tell the reader's selector."""
        super().write_eof()
        if self.on_arrival is not None:
            self.on_arrival()


# The library makes the queues of each connection by this name.
async_solipsism.socket.Queue = NotifyingQueue


class FastSelector(async_solipsism.selector.Selector):
    """
    Looks only at connections on which something has arrived.

    Parameters
    ----------
    clock : async_solipsism.clock.Clock
        The loop's clock.
    """

    def __init__(self, clock: Any) -> None:
        super().__init__(clock)
        self.arrived: dict[Any, selectors.SelectorKey] = {}
        self.polled: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        """Register a socket and look at it once in any case."""
        key = super().register(fileobj, events, data)
        queue = getattr(key.fd.socket, "_read_queue", None)
        self.arrived[key.fd] = key
        if queue is None or events & selectors.EVENT_WRITE:
            self.polled[key.fd] = key
        if queue is not None:
            queue.on_arrival = partial(self.arrived.__setitem__, key.fd, key)
        return key

    def unregister(self, fileobj: Any) -> Any:
        """Forget a socket."""
        key = super().unregister(fileobj)
        self.polled.pop(key.fd, None)
        self.arrived.pop(key.fd, None)
        queue = getattr(key.fd.socket, "_read_queue", None)
        if queue is not None:
            queue.on_arrival = None
        return key

    def select(self, timeout: float | None = None) -> list:
        """
        Return what is ready; else advance the clock by `timeout`.

        Parameters
        ----------
        timeout : float or None
            Seconds until the next timer.
        """
        ready = []
        for fd, key in list({**self.polled, **self.arrived}.items()):
            events = ready_events(key)
            if events:
                ready.append((key, events))
            else:
                self.arrived.pop(fd, None)
        if ready:
            return ready
        if timeout is None or timeout >= LONGEST_TIMER:
            raise async_solipsism.SleepForeverError("nothing is left to wait for")
        if timeout > 0:
            self.clock.advance(timeout)
        return []


def ready_events(key: selectors.SelectorKey) -> int:
    """Return the wanted events for which a socket is ready."""
    socket: Any = key.fd.socket  # type: ignore[attr-defined]
    events = 0
    if key.events & selectors.EVENT_READ and socket.read_ready():
        events |= selectors.EVENT_READ
    if key.events & selectors.EVENT_WRITE and socket.write_ready():
        events |= selectors.EVENT_WRITE
    return events


def virtual_loop() -> async_solipsism.EventLoop:
    """Return an event loop with virtual time and the fast selector."""
    loop = async_solipsism.EventLoop()
    slow = loop._selector
    loop._selector = FastSelector(slow.clock)
    for key in slow.get_map().values():
        loop._selector.register(key.fd.socket, key.events, key.data)
    return loop


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """
    Run a coroutine to its end in virtual time.

    Parameters
    ----------
    main : coroutine
        What to run.

    Examples
    --------
    >>> import asyncio
    >>> async def wait_an_hour():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_virtual(wait_an_hour())
    3600.0
    """
    loop = virtual_loop()
    try:
        return loop.run_until_complete(main)
    finally:
        cancel_tasks(loop)
        loop.close()


def cancel_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel what still waits, such as handlers of connections that fell silent."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks, timeout=1.0))
