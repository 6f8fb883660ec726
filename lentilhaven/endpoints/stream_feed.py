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
from lentilhaven.endpoints.piece_wire import EventDecoder, StreamEvent
from lentilhaven.endpoints.stage import Stage

#: Seconds by which a timer may fire early, since clocks have a resolution.
TIMER_SLACK = 0.001

#: Largest line of a stream, in bytes.
LARGEST_LINE = 1_000_000


Chunk = list[StreamEvent] | FailureError


@attrs.define
class StreamFeed:
    """
    The events of one open stream, in the chunks in which they arrived.

    One chunk at most waits here; the next is not read before it is taken.  One
    timer serves all waits, since almost every one ends before its time.

    Attributes
    ----------
    slot : list of StreamEvent or FailureError or None
        The chunk that waits, or the failure that ended the stream.
    arrival : asyncio.Future or None
        Set while the consumer waits for a chunk.
    room : asyncio.Future or None
        Set while the reader waits for the slot to be empty.
    deadline : float
        Time of the event loop until which the consumer waits, in seconds.
    timer : asyncio.TimerHandle or None
        Ends a wait.
    """

    slot: Chunk | None = None
    arrival: asyncio.Future | None = None
    room: asyncio.Future | None = None
    deadline: float = 0.0
    timer: asyncio.TimerHandle | None = None

    @property
    def empty(self) -> bool:
        """Return whether nothing waits to be taken."""
        return self.slot is None

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
        if self.slot is None:
            await self.wait_for_chunk(silence)
        chunk, self.slot = self.slot, None
        if self.room is not None and not self.room.done():
            self.room.set_result(None)
        if isinstance(chunk, FailureError):
            raise chunk
        return chunk

    async def wait_for_chunk(self, silence: float) -> None:
        """Wait until a chunk is there or the time is over."""
        loop = asyncio.get_running_loop()
        self.deadline = loop.time() + silence
        if self.timer is None or self.timer.when() > self.deadline:
            self.stop_timer()
            self.timer = loop.call_at(self.deadline, self.check_time)
        self.arrival = loop.create_future()
        try:
            await self.arrival
        finally:
            self.arrival = None

    def check_time(self) -> None:
        """End the wait if its time is over; else look again when it is."""
        self.timer = None
        if self.arrival is None or self.arrival.done():
            return
        loop = asyncio.get_running_loop()
        if loop.time() + TIMER_SLACK >= self.deadline:
            self.arrival.set_result(None)
        else:
            self.timer = loop.call_at(self.deadline, self.check_time)

    def stop_timer(self) -> None:
        """Cancel the timer."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    async def put(self, chunk: Chunk) -> None:
        """
        Hand a chunk to the consumer once it has taken the one before.

        Parameters
        ----------
        chunk : list of StreamEvent or FailureError
            What has arrived.
        """
        while self.slot is not None:
            self.room = asyncio.get_running_loop().create_future()
            await self.room
        self.slot = chunk
        if self.arrival is not None and not self.arrival.done():
            self.arrival.set_result(None)

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
                    await self.put(chunk)
            raise FailureError(ended_early(head))
        except FailureError as error:
            await self.put(error)
        except Exception as error:
            # Nothing may end the stream without its reader being told.
            await self.put(FailureError(bad_event(head, error)))


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
        feed.stop_timer()
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
    decoder = EventDecoder()
    async for data in response.content.iter_any():
        lines = (rest + data).split(b"\n")
        rest = lines.pop()
        if len(rest) > LARGEST_LINE:
            raise FailureError(bad_event(head, ValueError("a line is too long")))
        if lines:
            yield [decode_line(head, decoder, line) for line in lines]


def decode_line(head: Stage, decoder: EventDecoder, line: bytes) -> StreamEvent:
    """Return the event of one line, or raise `FailureError`."""
    try:
        return decoder.decode(json.loads(line))
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
