"""Reads a stream in a task of its own."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import aiohttp
import attrs

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.piece_wire import StreamEvent, decode_event
from lentilhaven.endpoints.stage import Stage

#: Chunks read ahead of the consumer; a full queue stops reading from the socket.
READ_AHEAD = 8

#: Largest line of a stream, in bytes.
LARGEST_LINE = 1_000_000


@attrs.define
class StreamFeed:
    """
    The events of one open stream, in the chunks in which they arrived.

    Attributes
    ----------
    chunks : asyncio.Queue
        Lists of events, closed by the `FailureError` that ended the stream.
    """

    chunks: asyncio.Queue[list[StreamEvent] | FailureError] = attrs.field(
        factory=lambda: asyncio.Queue(READ_AHEAD)
    )

    async def next_chunk(self, silence: float) -> list[StreamEvent] | None:
        """
        Return the next events, or None after a silence.

        Parameters
        ----------
        silence : float
            Seconds to wait.

        Raises
        ------
        FailureError
            If the stream has ended.
        """
        if self.chunks.empty():
            try:
                async with asyncio.timeout(silence):
                    chunk = await self.chunks.get()
            except TimeoutError:
                return None
        else:
            chunk = self.chunks.get_nowait()
        if isinstance(chunk, FailureError):
            raise chunk
        return chunk

    async def pump(
        self, head: Stage, opening: AbstractAsyncContextManager[aiohttp.ClientResponse]
    ) -> None:
        """
        Read a response to its end.

        Parameters
        ----------
        head : Stage
            Where it comes from.
        opening : context manager
            Opens the response.
        """
        try:
            async with opening as response:
                async for chunk in read_chunks(head, response):
                    await self.chunks.put(chunk)
            raise FailureError(ended_early(head))
        except FailureError as error:
            await self.chunks.put(error)
        except Exception as error:
            # Nothing may end the stream without its reader being told.
            await self.chunks.put(FailureError(bad_event(head, error)))


@asynccontextmanager
async def open_feed(
    head: Stage, opening: AbstractAsyncContextManager[aiohttp.ClientResponse]
) -> AsyncIterator[StreamFeed]:
    """
    Read a stream in the background while the context lasts.

    Parameters
    ----------
    head : Stage
        Where the stream comes from.
    opening : context manager
        Opens the response.
    """
    feed = StreamFeed()
    task = asyncio.create_task(feed.pump(head, opening))
    try:
        yield feed
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def read_chunks(
    head: Stage, response: aiohttp.ClientResponse
) -> AsyncIterator[list[StreamEvent]]:
    """
    Yield the events of a response, all that have arrived at once together.

    Parameters
    ----------
    head : Stage
        Where the response comes from.
    response : aiohttp.ClientResponse
        The open response.

    Raises
    ------
    FailureError
        If a line is not an event.
    """
    rest = b""
    async for data in response.content.iter_any():
        lines = (rest + data).split(b"\n")
        rest = lines.pop()
        if len(rest) > LARGEST_LINE:
            raise FailureError(bad_event(head, ValueError("a line is too long")))
        if lines:
            yield [decode_line(head, line) for line in lines]


def decode_line(head: Stage, line: bytes) -> StreamEvent:
    """Return the event of one line, or raise `FailureError`."""
    try:
        return decode_event(json.loads(line))
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        raise FailureError(bad_event(head, error)) from error


def bad_event(head: Stage, error: Exception) -> Failure:
    """Return the failure of a stream that sent something else than events."""
    detail = f"{type(error).__name__}: {error}"
    return Failure(Step.VERIFY, head.endpoint, "bad-event", detail, Ran.UNKNOWN)


def ended_early(head: Stage) -> Failure:
    """Return the failure of a stream that ended before it was read to its end."""
    detail = "the stream ended before the answer"
    return Failure(Step.STREAM, head.endpoint, "engine-lost", detail, Ran.UNKNOWN)
