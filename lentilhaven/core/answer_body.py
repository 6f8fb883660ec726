"""Reading the bodies of answers that a client of aiohttp receives."""

import asyncio
import json
from typing import Any

import aiohttp


class AnswerTooLargeError(ValueError):
    """
    An answer is larger than its reader accepts.

    Parameters
    ----------
    limit : int
        Number of bytes that the reader accepts.
    """

    def __init__(self, limit: int) -> None:
        super().__init__(f"the answer is larger than {limit} bytes")


async def read_answer_body(response: aiohttp.ClientResponse, limit: int) -> bytes:
    """
    Return the whole body of an answer.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Answer whose body has not been read.
    limit : int
        Maximum size of the body, in bytes.

    Raises
    ------
    AnswerTooLargeError
        If the body is larger; the connection is closed.
    aiohttp.ClientPayloadError
        If the connection was lost before the body was whole.
    """
    closing = closing_of_unframed(response)
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > limit:
            response.close()
            raise AnswerTooLargeError(limit)
    if closing is not None and closing.done() and closing.exception() is not None:
        raise aiohttp.ClientPayloadError("the connection was reset")
    return bytes(body)


async def read_answer_json(response: aiohttp.ClientResponse, limit: int) -> Any:
    """
    Return the JSON value of an answer, or None if its body is empty.

    Raises
    ------
    ValueError
        If the body is no JSON, nested too deeply, or larger than `limit` bytes.
    aiohttp.ClientPayloadError
        As in `read_answer_body`.
    """
    body = (await read_answer_body(response, limit)).strip()
    try:
        return json.loads(body) if body else None
    except RecursionError as error:
        raise ValueError("the answer is nested too deeply") from error


def closing_of_unframed(
    response: aiohttp.ClientResponse,
) -> asyncio.Future[None] | None:
    """
    Return the future of the end of a connection that ends its answer's body.

    aiohttp takes such a body for whole also if the connection is reset; the future
    then has an exception.  The result is None for an answer with a length or in chunks.
    """
    is_chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if is_chunked or "Content-Length" in response.headers:
        return None
    connection = response.connection
    if connection is None or connection.protocol is None:
        return None
    closing = connection.protocol.closed
    if closing is not None:
        closing.add_done_callback(retrieve_exception)
    return closing


def retrieve_exception(future: asyncio.Future[None]) -> None:
    """Retrieve a future's exception, so that it is not reported as ignored."""
    if not future.cancelled():
        future.exception()
