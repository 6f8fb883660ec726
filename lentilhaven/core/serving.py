"""Plain HTTP server for an application, by default on a free loopback port."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web


@asynccontextmanager
async def serve_app(
    app: web.Application, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[str]:
    """
    Serve an application and yield its base URL.

    Parameters
    ----------
    app : aiohttp.web.Application
        The application to serve.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 selects a free one.
    """
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, host, port, shutdown_timeout=0.1)
    await site.start()
    try:
        bound_port = runner.addresses[0][1]
        yield f"http://{host}:{bound_port}"
    finally:
        await runner.cleanup()
