"""Serving of applications on free loopback ports."""

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
        What to serve.
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 takes a free one.
    """
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, host, port, shutdown_timeout=0.1)
    await site.start()
    try:
        bound = runner.addresses[0][1]
        yield f"http://{host}:{bound}"
    finally:
        await runner.cleanup()
