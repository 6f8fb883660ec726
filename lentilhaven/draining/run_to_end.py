"""Runs the gateway's event loop so that no late reload ends the process."""

import asyncio
import signal
from collections.abc import Coroutine
from typing import Any


def run_to_end(serving: Coroutine[Any, Any, None]) -> None:
    """
    Run a coroutine in an event loop, and ignore SIGHUP once it has ended.

    An event loop that closes gives the signals that it handled their default action,
    which for SIGHUP ends the process and so changes its exit status.

    Parameters
    ----------
    serving : coroutine
        Serves until the gateway is told to stop.
    """

    async def serve_and_block() -> None:
        try:
            await serving
        finally:
            # Until the signal can be ignored, it stays pending.
            signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})

    asyncio.run(serve_and_block())
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
