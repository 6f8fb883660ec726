"""The HTTP client sessions of all programs."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp


@asynccontextmanager
async def open_session(**options: Any) -> AsyncIterator[aiohttp.ClientSession]:
    """
    Open a session that sends each request once.

    By default aiohttp sends a request with an idempotent method again, on another
    connection, if its connection is lost before the head of the answer is complete.
    The caller then gets the answer to a request that it does not know of: a conditional
    write that has taken effect looks refused, and no limit counts the second call.
    Whether to send a request again is decided where it is sent.

    Parameters
    ----------
    **options
        Options of `aiohttp.ClientSession`.
    """
    async with aiohttp.ClientSession(**options) as session:
        # aiohttp has no public option for this; its own test client sets the same.
        session._retry_connection = False
        yield session
