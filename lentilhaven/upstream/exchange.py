"""Requests and their responses on a connection to an endpoint."""

import asyncio
from collections import deque
from collections.abc import Callable

import attrs

from lentilhaven.platform.response_head import ResponseHead
from lentilhaven.upstream.answer_memory import TOO_LARGE, AnswerMemory, Holding

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
    head_bytes : int
        Number of bytes of the head, or of a head or trailers of which a part has
        arrived.
    unread_bytes : int
        Number of bytes in `chunks`.
    handed_bytes : int
        Number of bytes that `next_chunk` has returned last.
    kept_bytes : int
        Number of bytes that the reader keeps besides.
    parts : list of bytes
        Parts of a body that is read as a whole.
    memory : AnswerMemory
        Accounts for these bytes.
    holding : Holding
        The account of this exchange.
    given_up : bool
        Whether the response was too large.
    ends_at_eof : bool
        Whether the response has no framing and ends with the connection.
    complete : bool
        Whether the whole response has arrived.
    error : UpstreamError or None
        Error that ended the exchange; None if it has not failed.
    waiter : asyncio.Future or None
        Future of the one task that waits for the exchange to change; None if no task
        waits.
    resume_reading : callable
        Resumes reading from the connection if it was paused.
    on_given_up : callable
        Takes this exchange when it is given up; closes the connection.
    """

    request_id: str
    head: ResponseHead | None = None
    chunks: deque[bytes] = attrs.field(factory=deque)
    head_bytes: int = 0
    unread_bytes: int = 0
    handed_bytes: int = 0
    kept_bytes: int = 0
    parts: list[bytes] = attrs.field(factory=list)
    memory: AnswerMemory = attrs.field(factory=AnswerMemory)
    holding: Holding = attrs.field(init=False)
    given_up: bool = False
    ends_at_eof: bool = False
    complete: bool = False
    error: UpstreamError | None = None
    waiter: asyncio.Future[None] | None = None
    resume_reading: Callable[[], None] = lambda: None
    on_given_up: Callable[["Exchange"], None] = lambda exchange: None

    def __attrs_post_init__(self) -> None:
        """Open the account of this exchange."""
        self.holding = self.memory.open(self.give_up)

    def wake(self) -> None:
        """Wake the waiting task, if any."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def add_chunk(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self.chunks.append(chunk)
        self.unread_bytes += len(chunk)
        self.account()
        self.wake()

    def account(self) -> None:
        """Tell the memory how many bytes are held for this exchange."""
        size = self.head_bytes + self.unread_bytes + self.handed_bytes + self.kept_bytes
        self.memory.resize(self.holding, size)

    def note_head(self, size: int) -> None:
        """Account for `size` bytes of a head or of trailers."""
        self.head_bytes = size
        self.account()

    def keep(self, size: int, limit: int) -> None:
        """
        Account for the bytes that the reader keeps besides the last chunk.

        Parameters
        ----------
        size : int
            Number of bytes.
        limit : int
            Maximum of `size`.

        Raises
        ------
        UpstreamError
            If there are more, or all answers together hold too much; the connection
            is closed.
        """
        self.kept_bytes = size
        self.account()
        if size > limit:
            self.give_up(TOO_LARGE, f"more than {limit} bytes must be held")
        if self.given_up and self.error is not None:
            raise self.error

    def give_up(self, kind: str, detail: str) -> None:
        """
        Fail the exchange since its response is too large, and free what was received.

        Parameters
        ----------
        kind, detail : str
            As in `UpstreamError`.
        """
        if self.given_up:
            return
        self.given_up = True
        self.complete = False
        self.error = UpstreamError(kind, detail, sent=True)
        self.on_given_up(self)
        self.discard()
        self.wake()

    def discard(self) -> None:
        """Free what was received."""
        self.chunks.clear()
        self.parts.clear()
        self.memory.close(self.holding)

    def close(self) -> None:
        """Free what was received; nothing is read any more."""
        self.discard()
        # The traceback of an error refers to the frames that have read.
        self.error = None

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
        if self.handed_bytes:
            self.handed_bytes = 0
            self.account()
        while not self.chunks:
            if self.complete:
                return b""
            if self.error is not None:
                raise self.error
            if not await self.wait(deadline):
                return None
        chunk = b"".join(self.chunks)
        self.chunks.clear()
        # Their sum stays the same.
        self.handed_bytes, self.unread_bytes = self.unread_bytes, 0
        self.resume_reading()
        return chunk

    async def read_body(self, deadline: float) -> bytes | None:
        """
        Return the rest of the body, or None if it is incomplete at the deadline.

        Raises
        ------
        UpstreamError
            If the exchange has failed, or the body is too large to be held.
        """
        while True:
            chunk = await self.next_chunk(deadline)
            if chunk is None:
                return None
            if not chunk:
                return b"".join(self.parts)
            self.parts.append(chunk)
            self.handed_bytes = 0
            self.keep(self.kept_bytes + len(chunk), self.memory.answer_limit)


def set_exception_unless_done(future: asyncio.Future, error: BaseException) -> None:
    """Set an exception on a future unless it is done."""
    if not future.done():
        future.set_exception(error)
