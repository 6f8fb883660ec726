"""Answers of endpoints that are held whole while they are sent to callers."""

from typing import Any

from aiohttp import web

from lentilhaven.platform.response_head import ResponseHead
from lentilhaven.upstream.answer_memory import AnswerMemory


class HeldResponse(web.Response):
    """
    Response whose body counts as held until the caller has taken it.

    If all answers in progress hold too much and this one is the largest, the caller's
    connection is aborted.

    Parameters
    ----------
    memory : AnswerMemory
        Memory of the answers in progress.
    head : ResponseHead
        Head of the endpoint's answer.
    body : bytes
        Its body.

    Attributes
    ----------
    memory : AnswerMemory
        As above.
    size : int
        Size of the body, in bytes.
    request : aiohttp.web.BaseRequest or None
        The caller's request, once the response is being sent.
    """

    def __init__(self, memory: AnswerMemory, head: ResponseHead, body: bytes) -> None:
        super().__init__(
            status=head.status, body=body, headers=list(head.forwarded_headers)
        )
        self.memory = memory
        self.size = len(body)
        self.request: web.BaseRequest | None = None

    async def prepare(self, request: web.BaseRequest) -> Any:
        """Send the head to the caller."""
        self.request = request
        return await super().prepare(request)

    async def write_eof(self, data: bytes = b"") -> None:
        """Send the body to the caller."""
        with self.memory.holding(self.size, self.give_up):
            await super().write_eof(data)

    def give_up(self, kind: str, detail: str) -> None:
        """Abort the caller's connection."""
        if self.request is not None and self.request.transport is not None:
            self.request.transport.abort()
