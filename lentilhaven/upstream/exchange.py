"""One request and its answer on a connection to an endpoint."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from lentilhaven.platform.answer_head import AnswerHead

#: Unread bytes of an answer beyond which the connection is no longer read.
MOST_UNREAD = 262_144


class UpstreamError(Exception):
    """
    An exchange that failed.

    Parameters
    ----------
    kind : str
        A stable slug, such as ``"reset"``.
    detail : str
        An explanation for people.
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
    An answer while it arrives.

    Attributes
    ----------
    request_id : str
        Id of the request that must be answered.
    head : AnswerHead or None
        Head of the answer, once it is there.
    chunks : deque of bytes
        Parts of the body that have not been read.
    unread : int
        Bytes in `chunks`.
    complete : bool
        Whether the whole answer has arrived.
    error : UpstreamError or None
        Why it will not arrive.
    waiter : asyncio.Future or None
        Of the task that waits for the next change.
    resume_reading : callable
        Lets the connection be read again.
    """

    request_id: str
    head: AnswerHead | None = None
    chunks: deque[bytes] = attrs.field(factory=deque)
    unread: int = 0
    complete: bool = False
    error: UpstreamError | None = None
    waiter: asyncio.Future[None] | None = None
    resume_reading: Callable[[], None] = lambda: None

    def wake(self) -> None:
        """Wake the task that waits."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def add_chunk(self, chunk: bytes) -> None:
        """Take a part of the body."""
        self.chunks.append(chunk)
        self.unread += len(chunk)
        self.wake()

    def finish(self) -> None:
        """Note that the answer is complete."""
        self.complete = True
        self.wake()

    def fail(self, error: UpstreamError) -> None:
        """Note that the answer will not be complete."""
        if self.error is None and not self.complete:
            self.error = error
            self.wake()

    async def wait(self, deadline: float) -> bool:
        """
        Wait for a change, and return whether there was one.

        Parameters
        ----------
        deadline : float
            Time of the event loop at which to give up.
        """
        loop = asyncio.get_running_loop()
        left = deadline - loop.time()
        if left <= 0:
            return False
        self.waiter = loop.create_future()
        timer = loop.call_at(deadline, set_quietly, self.waiter, TimeoutError())
        try:
            await self.waiter
        except TimeoutError:
            return False
        finally:
            timer.cancel()
            self.waiter = None
        return True

    async def wait_for_head(self, deadline: float) -> AnswerHead | None:
        """
        Return the head, or None if it is not there at a time.

        Raises
        ------
        UpstreamError
            If there will be none.
        """
        while self.head is None:
            if self.error is not None:
                raise self.error
            if not await self.wait(deadline):
                return None
        return self.head

    async def next_chunk(self, deadline: float) -> bytes | None:
        """
        Return the next part of the body, empty at its end.

        Returns
        -------
        bytes or None
            None if nothing arrived until the deadline.

        Raises
        ------
        UpstreamError
            If the answer broke off.
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
        self.unread = 0
        self.resume_reading()
        return chunk

    async def read_body(self, deadline: float) -> bytes | None:
        """Return the whole body, or None if it is not complete at a time."""
        parts: list[bytes] = []
        while True:
            chunk = await self.next_chunk(deadline)
            if chunk is None:
                return None
            if not chunk:
                return b"".join(parts)
            parts.append(chunk)


def set_quietly(future: asyncio.Future, error: BaseException) -> None:
    """Fail a future unless it is done."""
    if not future.done():
        future.set_exception(error)
