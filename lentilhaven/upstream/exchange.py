"""Requests and their responses on a connection to an endpoint."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from lentilhaven.platform.response_head import ResponseHead

#: Unread bytes of a response above which reading from the connection pauses.
MAX_UNREAD_BYTES = 262_144


class UpstreamError(Exception):
    """
    Error of a failed exchange.

    Parameters
    ----------
    kind : str
        Stable identifier of the error, such as ``"reset"``.
    detail : str
        Human-readable description.
    sent : bool
        Whether a byte of the request may have reached the endpoint.
    """

    def __init__(self, kind: str, detail: str, sent: bool) -> None:
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
        self.sent = sent


@attrs.define(eq=False)
class Exchange:
    """
    A request that was sent, and its response as received so far.

    Attributes
    ----------
    request_id : str
        Id of the request, which the response must repeat.
    head : ResponseHead or None
        Head of the response; None until it has arrived.
    chunks : deque of bytes
        Received parts of the body that have not been read.
    unread_bytes : int
        Number of bytes in `chunks`.
    complete : bool
        Whether the whole response has arrived.
    error : UpstreamError or None
        Error that ended the exchange; None if it has not failed.
    waiter : asyncio.Future or None
        Future of the one task that waits for the exchange to change; None if no task
        waits.
    resume_reading : callable
        Resumes reading from the connection if it was paused.
    """

    request_id: str
    head: ResponseHead | None = None
    chunks: deque[bytes] = attrs.field(factory=deque)
    unread_bytes: int = 0
    complete: bool = False
    error: UpstreamError | None = None
    waiter: asyncio.Future[None] | None = None
    resume_reading: Callable[[], None] = lambda: None

    @property
    def has_unread_news(self) -> bool:
        """Return whether a part of the body or its end has arrived and is unread."""
        return bool(self.chunks) or self.complete

    def wake(self) -> None:
        """Wake the waiting task, if any."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def add_chunk(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self.chunks.append(chunk)
        self.unread_bytes += len(chunk)
        self.wake()

    def finish(self) -> None:
        """Mark the response as complete."""
        self.complete = True
        self.wake()

    def fail(self, error: UpstreamError) -> None:
        """End an incomplete exchange with an error."""
        if self.error is None and not self.complete:
            self.error = error
            self.wake()

    async def wait(self, deadline: float) -> bool:
        """
        Wait until more of the response, its end or an error arrives.

        Only one task may wait at a time.

        Parameters
        ----------
        deadline : float
            Event loop time until which to wait, in seconds.

        Returns
        -------
        bool
            Whether something arrived before the deadline.
        """
        loop = asyncio.get_running_loop()
        left = deadline - loop.time()
        if left <= 0:
            return False
        self.waiter = loop.create_future()
        timer = loop.call_at(
            deadline, set_exception_unless_done, self.waiter, TimeoutError()
        )
        try:
            await self.waiter
        except TimeoutError:
            return False
        finally:
            timer.cancel()
            self.waiter = None
        return True

    async def wait_for_head(self, deadline: float) -> ResponseHead | None:
        """
        Return the head, or None if it does not arrive before the deadline.

        Raises
        ------
        UpstreamError
            If the exchange has failed.
        """
        while self.head is None:
            if self.error is not None:
                raise self.error
            if not await self.wait(deadline):
                return None
        return self.head

    async def next_chunk(self, deadline: float) -> bytes | None:
        """
        Return the unread part of the body, which is empty only at the end.

        Returns
        -------
        bytes or None
            None if nothing arrives before the deadline.

        Raises
        ------
        UpstreamError
            If the exchange has failed.
        """
        while not self.chunks:
            if self.complete:
                return b""
            if self.error is not None:
                raise self.error
            if not await self.wait(deadline):
                return None
        chunk = b"".join(self.chunks)
        self.chunks.clear()
        self.unread_bytes = 0
        self.resume_reading()
        return chunk

    async def read_body(self, deadline: float) -> bytes | None:
        """
        Return the rest of the body, or None if it is incomplete at the deadline.

        Raises
        ------
        UpstreamError
            If the exchange has failed.
        """
        parts: list[bytes] = []
        while True:
            chunk = await self.next_chunk(deadline)
            if chunk is None:
                return None
            if not chunk:
                return b"".join(parts)
            parts.append(chunk)


def set_exception_unless_done(future: asyncio.Future, error: BaseException) -> None:
    """Set an exception on a future unless it is done."""
    if not future.done():
        future.set_exception(error)
