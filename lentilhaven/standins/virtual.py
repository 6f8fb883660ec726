"""
Virtual time: real servers and clients over in-memory connections.

The event loop of `async_solipsism` advances its clock whenever nothing can run,
so that a scenario of an hour takes as long as its computations.  aiohttp opens
sockets itself; the connector here asks the loop instead.
"""

from collections.abc import Coroutine
from typing import Any, TypeVar

import aiohttp
import async_solipsism

T = TypeVar("T")


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
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(main)
    finally:
        loop.close()
