"""
Virtual time for real servers and clients over in-memory connections.

The event loop of `async_solipsism` advances its clock whenever no callback is ready,
so that a scenario of an hour takes only the time of its computations.  aiohttp opens
sockets itself by default; `VirtualConnector` opens them through the event loop.
"""

import asyncio
import selectors
from collections.abc import Callable, Coroutine
from functools import partial
from typing import Any, TypeVar

import aiohttp
import async_solipsism

T = TypeVar("T")

#: Maximum timeout that the event loop passes to its selector, in seconds.  The event
#: loop passes it for any later timer too.
MAX_SELECT_TIMEOUT = 86_400.0


class VirtualConnector(aiohttp.TCPConnector):
    """Connector that opens connections through the event loop, by host and port."""

    async def _wrap_create_connection(
        self, *args: Any, addr_infos: Any, req: Any, timeout: Any, **kwargs: Any
    ) -> Any:
        """Connect to the first address through the event loop, without TLS."""
        for name in ("client_error", "server_hostname", "ssl", "local_addr", "sock"):
            kwargs.pop(name, None)
        host, port = addr_infos[0][4][:2]
        try:
            connect: Any = self._loop.create_connection
            return await connect(*args, host=host, port=port)
        except OSError as error:
            raise aiohttp.ClientConnectorError(req.connection_key, error) from error


class NotifyingQueue(async_solipsism.socket.Queue):
    """
    One direction of an in-memory connection, with a callback for arrivals.

    Attributes
    ----------
    on_arrival : callable or None
        Called after each write and at the end of the data.
    """

    on_arrival: Callable[[], None] | None = None

    def write(self, data: Any) -> int:
        """
        Write bytes and notify the selector of the reader.

        Returns the number of bytes written, or None if the queue is full.
        """
        written = super().write(data)
        if self.on_arrival is not None:
            self.on_arrival()
        return written

    def write_eof(self) -> None:
        """Close the direction and notify the selector of the reader."""
        super().write_eof()
        if self.on_arrival is not None:
            self.on_arrival()


# The library creates the queues of each connection from this module attribute.
async_solipsism.socket.Queue = NotifyingQueue


class ArrivalSelector(async_solipsism.selector.Selector):
    """
    Selector that checks a connection for reading only after data has arrived on it.

    The selector of the library checks every registered connection instead.

    Parameters
    ----------
    clock : async_solipsism.clock.Clock
        Clock of the event loop.

    Attributes
    ----------
    arrived : dict
        `SelectorKey` by file descriptor, of the sockets to check at the next call of
        `select`.
    always_checked : dict
        `SelectorKey` by file descriptor, of the sockets to check at every call: those
        that wait to write, and those without a queue that reports arrivals.
    """

    def __init__(self, clock: Any) -> None:
        super().__init__(clock)
        self.arrived: dict[Any, selectors.SelectorKey] = {}
        self.always_checked: dict[Any, selectors.SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> Any:
        """Register a socket; the next call of `select` checks it in any case."""
        key = super().register(fileobj, events, data)
        queue = getattr(key.fd.socket, "_read_queue", None)
        self.arrived[key.fd] = key
        if queue is None or events & selectors.EVENT_WRITE:
            self.always_checked[key.fd] = key
        if queue is not None:
            queue.on_arrival = partial(self.arrived.__setitem__, key.fd, key)
        return key

    def unregister(self, fileobj: Any) -> Any:
        """Unregister a socket and return its key."""
        key = super().unregister(fileobj)
        self.always_checked.pop(key.fd, None)
        self.arrived.pop(key.fd, None)
        queue = getattr(key.fd.socket, "_read_queue", None)
        if queue is not None:
            queue.on_arrival = None
        return key

    def select(self, timeout: float | None = None) -> list:
        """
        Return the ready sockets, or advance the clock by `timeout` if there are none.

        Parameters
        ----------
        timeout : float or None
            Seconds of virtual time until the next timer; None if there is none.

        Raises
        ------
        async_solipsism.SleepForeverError
            If no socket is ready and no timer is due within a day.
        """
        ready = []
        for fd, key in list({**self.always_checked, **self.arrived}.items()):
            events = ready_events(key)
            if events:
                ready.append((key, events))
            else:
                self.arrived.pop(fd, None)
        if ready:
            return ready
        if timeout is None or timeout >= MAX_SELECT_TIMEOUT:
            raise async_solipsism.SleepForeverError(
                "no socket is ready and no timer is due within a day"
            )
        if timeout > 0:
            self.clock.advance(timeout)
        return []


def ready_events(key: selectors.SelectorKey) -> int:
    """Return the mask of the registered events for which a socket is ready."""
    socket: Any = key.fd.socket  # type: ignore[attr-defined]
    events = 0
    if key.events & selectors.EVENT_READ and socket.read_ready():
        events |= selectors.EVENT_READ
    if key.events & selectors.EVENT_WRITE and socket.write_ready():
        events |= selectors.EVENT_WRITE
    return events


def create_virtual_loop() -> async_solipsism.EventLoop:
    """Return an event loop with virtual time and an `ArrivalSelector`."""
    loop = async_solipsism.EventLoop()
    default_selector = loop._selector
    loop._selector = ArrivalSelector(default_selector.clock)
    for key in default_selector.get_map().values():
        loop._selector.register(key.fd.socket, key.events, key.data)
    return loop


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """
    Run a coroutine to completion in virtual time and return its result.

    Parameters
    ----------
    main : coroutine
        Coroutine to run.

    Examples
    --------
    >>> import asyncio
    >>> async def wait_an_hour():
    ...     await asyncio.sleep(3600)
    ...     return asyncio.get_running_loop().time()
    >>> run_virtual(wait_an_hour())
    3600.0
    """
    loop = create_virtual_loop()
    try:
        return loop.run_until_complete(main)
    finally:
        cancel_tasks(loop)
        loop.close()


def cancel_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel the remaining tasks, such as handlers of unresponsive connections."""
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.wait(tasks, timeout=1.0))
