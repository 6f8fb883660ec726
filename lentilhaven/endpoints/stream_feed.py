"""Reads the events of a stream in a background task."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import aiohttp
import attrs

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.piece_codec import EventDecoder, StreamEvent
from lentilhaven.endpoints.stage import Stage

#: Seconds by which a timer may fire early, because of the clock's resolution.
TIMER_TOLERANCE = 0.001

#: Maximum length of a line of a stream, in bytes.
MAX_LINE_BYTES = 1_000_000


Chunk = list[StreamEvent] | FailureError


@attrs.define
class StreamFeed:
    """
    The events of one open stream, in the chunks in which they arrived.

    At most one chunk is buffered; the next one is buffered only when the consumer has
    taken it.  All waits share one timer, since almost every wait ends before its
    deadline.

    Attributes
    ----------
    buffered : list of StreamEvent or FailureError or None
        The buffered chunk, or the failure that ended the stream.
    chunk_ready : asyncio.Future or None
        Future on which the consumer waits for a chunk; None if it does not wait.
    chunk_taken : asyncio.Future or None
        Future on which the reader waits until the buffer is empty.
    deadline : float
        Event loop time until which the consumer waits, in seconds.
    timer : asyncio.TimerHandle or None
        Timer that ends a wait.
    """

    buffered: Chunk | None = None
    chunk_ready: asyncio.Future | None = None
    chunk_taken: asyncio.Future | None = None
    deadline: float = 0.0
    timer: asyncio.TimerHandle | None = None

    @property
    def empty(self) -> bool:
        """Return whether no chunk is buffered."""
        return self.buffered is None

    async def next_chunk(self, timeout: float) -> list[StreamEvent] | None:
        """
        Return the next events, or None if none arrive in time.

        Parameters
        ----------
        timeout : float
            Maximum time to wait, in seconds.

        Raises
        ------
        FailureError
            If the stream has failed or ended.
        """
        if self.buffered is None:
            await self.wait_for_chunk(timeout)
        chunk, self.buffered = self.buffered, None
        if self.chunk_taken is not None and not self.chunk_taken.done():
            self.chunk_taken.set_result(None)
        if isinstance(chunk, FailureError):
            raise chunk
        return chunk

    async def wait_for_chunk(self, timeout: float) -> None:
        """Wait until a chunk arrives or the timeout expires."""
        loop = asyncio.get_running_loop()
        self.deadline = loop.time() + timeout
        if self.timer is None or self.timer.when() > self.deadline:
            self.stop_timer()
            self.timer = loop.call_at(self.deadline, self.check_deadline)
        self.chunk_ready = loop.create_future()
        try:
            await self.chunk_ready
        finally:
            self.chunk_ready = None

    def check_deadline(self) -> None:
        """End the wait if its deadline has passed; otherwise set the timer again."""
        self.timer = None
        if self.chunk_ready is None or self.chunk_ready.done():
            return
        loop = asyncio.get_running_loop()
        if loop.time() + TIMER_TOLERANCE >= self.deadline:
            self.chunk_ready.set_result(None)
        else:
            self.timer = loop.call_at(self.deadline, self.check_deadline)

    def stop_timer(self) -> None:
        """Cancel the timer if it is set."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    async def put(self, chunk: Chunk) -> None:
        """
        Buffer a chunk as soon as the consumer has taken the previous one.

        Parameters
        ----------
        chunk : list of StreamEvent or FailureError
            Events that have arrived, or the failure that ends the stream.
        """
        while self.buffered is not None:
            self.chunk_taken = asyncio.get_running_loop().create_future()
            await self.chunk_taken
        self.buffered = chunk
        if self.chunk_ready is not None and not self.chunk_ready.done():
            self.chunk_ready.set_result(None)

    async def read_response(
        self, head: Stage, opening: AbstractAsyncContextManager[aiohttp.ClientResponse]
    ) -> None:
        """
        Read a response, and buffer its events and the failure that ends it.

        Parameters
        ----------
        head : Stage
            First stage of the chain, whose engine sends the response.
        opening : context manager
            Opens the response.
        """
        try:
            async with opening as response:
                async for chunk in read_chunks(head, response):
                    await self.put(chunk)
            # The consumer closes the feed after the last event of an answer, so a
            # failure at the end of the response is read only if events are missing.
            raise FailureError(ended_early_failure(head))
        except FailureError as error:
            await self.put(error)
        except Exception as error:
            # The consumer must learn of every error that ends the stream.
            await self.put(FailureError(bad_event_failure(head, error)))


@asynccontextmanager
async def open_feed(
    head: Stage, opening: AbstractAsyncContextManager[aiohttp.ClientResponse]
) -> AsyncIterator[StreamFeed]:
    """
    Read a stream in the background until the context exits.

    Parameters
    ----------
    head : Stage
        First stage of the chain, whose engine sends the stream.
    opening : context manager
        Opens the response.
    """
    feed = StreamFeed()
    task = asyncio.create_task(feed.read_response(head, opening))
    try:
        yield feed
    finally:
        feed.stop_timer()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def read_chunks(
    head: Stage, response: aiohttp.ClientResponse
) -> AsyncIterator[list[StreamEvent]]:
    """
    Yield the events of a response, in one list per block of received data.

    Parameters
    ----------
    head : Stage
        First stage of the chain, whose engine sends the response.
    response : aiohttp.ClientResponse
        Open response to read.

    Raises
    ------
    FailureError
        If a line is not an event, or is longer than `MAX_LINE_BYTES`.
    """
    rest = b""
    decoder = EventDecoder()
    async for data in response.content.iter_any():
        lines = (rest + data).split(b"\n")
        rest = lines.pop()
        if len(rest) > MAX_LINE_BYTES:
            raise FailureError(
                bad_event_failure(head, ValueError("a line is too long"))
            )
        if lines:
            yield [decode_line(head, decoder, line) for line in lines]


def decode_line(head: Stage, decoder: EventDecoder, line: bytes) -> StreamEvent:
    """Decode the event of one line, or raise `FailureError`."""
    try:
        return decoder.decode(json.loads(line))
    except (ValueError, TypeError, KeyError, AttributeError, RecursionError) as error:
        raise FailureError(bad_event_failure(head, error)) from error


def bad_event_failure(head: Stage, error: Exception) -> Failure:
    """Return the failure of a stream that can't be read or decoded."""
    detail = f"{type(error).__name__}: {error}"
    return Failure(Step.VERIFY, head.endpoint, "bad-event", detail, Ran.UNKNOWN)


def ended_early_failure(head: Stage) -> Failure:
    """Return the failure of a stream that ended before its last event."""
    detail = "the stream ended before the answer"
    return Failure(Step.STREAM, head.endpoint, "engine-lost", detail, Ran.UNKNOWN)
