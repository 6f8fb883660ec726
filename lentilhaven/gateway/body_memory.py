"""
Memory that the bodies of callers' requests hold together.

A body is held until its request has been answered, since it may have to be sent again.
Without a limit on all of them, callers that send large ones slowly end a gateway for
want of memory, and the balancer hands them to the next one.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
from aiohttp import web


class BodyGivenUpError(Exception):
    """Error of a body that is given up, since all bodies hold too much."""


@attrs.define(eq=False)
class BodyMemory:
    """
    The bytes that the bodies of all requests in progress hold, and their limit.

    If they exceed the limit, the largest body that is still arriving is given up: a
    request that is being served needs its body.

    Attributes
    ----------
    limit : int
        Maximum number of bytes.
    held : int
        Number of bytes held now.
    arriving : set of HeldBody
        The bodies that are not whole yet.

    Examples
    --------
    >>> memory = BodyMemory(10)
    >>> with memory.holding() as served, memory.holding() as first:
    ...     served.size = memory.held = 4
    ...     memory.arriving.add(first)
    ...     first.grow(6), memory.held, first.grow(7), memory.held
    (True, 10, False, 11)
    >>> memory.held
    0
    """

    limit: int
    held: int = 0
    arriving: "set[HeldBody]" = attrs.field(factory=set)

    @contextmanager
    def holding(self) -> "Iterator[HeldBody]":
        """Yield a body without bytes, and free its bytes when the context ends."""
        body = HeldBody(self)
        try:
            yield body
        finally:
            self.held -= body.size
            self.arriving.discard(body)


@attrs.define(eq=False)
class HeldBody:
    """
    The body of one request.

    Attributes
    ----------
    memory : BodyMemory
        The bytes of all bodies.
    size : int
        Number of bytes that are held.
    scope : asyncio.Timeout or None
        Ends the wait for the rest; None if nobody waits.
    is_given_up : bool
        Whether the body is no longer held.
    """

    memory: BodyMemory
    size: int = 0
    scope: asyncio.Timeout | None = None
    is_given_up: bool = False

    def grow(self, size: int) -> bool:
        """
        Change the number of bytes to a larger one, and give up larger bodies if needed.

        Returns False if this body must be given up itself.
        """
        memory = self.memory
        memory.held += size - self.size
        self.size = size
        while memory.held > memory.limit:
            largest = max(memory.arriving, key=lambda body: body.size)
            if largest is self:
                return False
            largest.give_up()
        return True

    def give_up(self) -> None:
        """Free the bytes, and end the wait for the rest."""
        self.memory.held -= self.size
        self.memory.arriving.discard(self)
        self.size = 0
        self.is_given_up = True
        if self.scope is not None:
            self.scope.reschedule(asyncio.get_running_loop().time())

    async def read(self, request: web.BaseRequest) -> bytes:
        """
        Read the body of a request.

        Raises
        ------
        BodyGivenUpError
            If all bodies together hold too much and this one is the largest.
        aiohttp.web.HTTPRequestEntityTooLarge
            If it is larger than one may be.
        """
        body = bytearray()
        self.memory.arriving.add(self)
        try:
            async with asyncio.timeout(None) as self.scope:
                while chunk := await request.content.readany():
                    body += chunk
                    if len(body) > request.client_max_size:
                        raise web.HTTPRequestEntityTooLarge(request.client_max_size)
                    if self.is_given_up or not self.grow(len(body)):
                        raise BodyGivenUpError()
        except TimeoutError as error:
            raise BodyGivenUpError() from error
        finally:
            self.scope = None
            self.memory.arriving.discard(self)
        if self.is_given_up:
            raise BodyGivenUpError()
        return bytes(body)
