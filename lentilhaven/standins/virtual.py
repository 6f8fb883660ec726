"""
Virtual time: real servers and clients over in-memory connections.

The event loop of `async_solipsism` advances its clock whenever nothing can run,
so that a scenario of an hour takes as long as its computations.  aiohttp opens
sockets itself; the connector here asks the loop instead.
"""

import asyncio
import selectors
from collections.abc import Coroutine
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


class FastSelector(async_solipsism.selector.Selector):
    """Polls in-memory sockets without a look-up for each of them."""

    def select(self, timeout: float | None = None) -> list:
        """
        Return what is ready; else advance the clock by `timeout`.

        Parameters
        ----------
        timeout : float or None
            Seconds until the next timer.
        """
        ready = []
        for key in self._fd_to_key.values():
            socket, wanted, events = key.fd.socket, key.events, 0
            if wanted & selectors.EVENT_READ and socket.read_ready():
                events |= selectors.EVENT_READ
            if wanted & selectors.EVENT_WRITE and socket.write_ready():
                events |= selectors.EVENT_WRITE
            if events:
                ready.append((key, events))
        if ready:
            return ready
        if timeout is None or timeout >= LONGEST_TIMER:
            raise async_solipsism.SleepForeverError("nothing is left to wait for")
        if timeout > 0:
            self.clock.advance(timeout)
        return []


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
