"""The HTTP client sessions of all programs."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
from aiohttp.http_exceptions import HttpProcessingError


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

    See Also
    --------
    hide_unreadable_head : Keeps secrets of peers out of its errors.
    """
    async with aiohttp.ClientSession(
        middlewares=[hide_unreadable_head], **options
    ) as session:
        # aiohttp has no public option for this; its own test client sets the same.
        session._retry_connection = False
        yield session


async def hide_unreadable_head(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """
    Leave out of an error what has arrived of a head that can't be read.

    aiohttp puts it into the message if the head breaks off or is malformed.  Its fields
    may hold secrets, and messages of errors are logged and told to callers.
    """
    try:
        return await handler(request)
    except aiohttp.ServerDisconnectedError as error:
        if isinstance(error.message, str):
            raise
        detail = "the answer broke off within its head"
        raise aiohttp.ServerDisconnectedError(detail) from None
    except aiohttp.ClientResponseError as error:
        if not isinstance(error.__cause__, HttpProcessingError):
            raise
        raise aiohttp.ClientPayloadError("the head is malformed") from None
