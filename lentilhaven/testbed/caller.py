"""A caller of completions that checks how its answer ends."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import attrs

LOST = (aiohttp.ClientError, TimeoutError, OSError)


@attrs.define
class CallerAnswer:
    """
    What a caller received.

    Attributes
    ----------
    tokens : list of str
        The text of each event, or the whole text as one entry.
    event_id : str
        Id of the newest event.
    finish_reason : str
        Why the model ended; empty if it did not.
    done : bool
        Whether the closing event, or a whole answer, has come.
    error : dict or None
        The problem document that ended the answer.
    broken : str
        What broke the connection; empty if nothing did.
    """

    tokens: list[str] = attrs.field(factory=list)
    event_id: str = ""
    finish_reason: str = ""
    done: bool = False
    error: dict | None = None
    broken: str = ""

    @property
    def text(self) -> str:
        """Return the text received."""
        return "".join(self.tokens)

    @property
    def truncated_silently(self) -> bool:
        """Return whether it ended without its end, an error or a broken line."""
        return not self.done and self.error is None and not self.broken


OnToken = Callable[[CallerAnswer], Awaitable[None]]


async def ask(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    body: dict,
    answer: CallerAnswer | None = None,
    on_token: OnToken | None = None,
) -> CallerAnswer:
    """
    Ask for a completion and read it to its end.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    url : str
        Base URL of a router.
    headers : dict
        Headers that show the workspace's token.
    body : dict
        Body of the request.
    answer : CallerAnswer or None
        What earlier requests have received; it is added to.
    on_token : coroutine function or None
        Called after each event.
    """
    answer = answer if answer is not None else CallerAnswer()
    answer.broken, answer.error = "", None
    if answer.event_id:
        headers = headers | {"Last-Event-ID": answer.event_id}
    target = f"{url}/v1/completions"
    try:
        async with session.post(target, json=body, headers=headers) as response:
            if response.status != 200:
                answer.error = await response.json(content_type=None)
            elif body.get("stream"):
                await read_stream(response, answer, on_token)
            else:
                read_whole(await response.json(), answer)
    except LOST as error:
        answer.broken = repr(error)
    return answer


def read_whole(document: dict, answer: CallerAnswer) -> None:
    """Take a whole answer."""
    choice = document["choices"][0]
    answer.tokens.append(choice["text"])
    answer.finish_reason = choice["finish_reason"]
    answer.done = True


async def read_stream(
    response: aiohttp.ClientResponse, answer: CallerAnswer, on_token: OnToken | None
) -> None:
    """Take server-sent events until the stream ends."""
    async for fields in read_events(response):
        data = fields["data"]
        if fields.get("event") == "error":
            answer.error = json.loads(data)
            continue
        if data == "[DONE]":
            answer.done = True
            continue
        choice = json.loads(data)["choices"][0]
        answer.tokens.append(choice["text"])
        answer.event_id = fields.get("id", "")
        answer.finish_reason = choice["finish_reason"] or ""
        if on_token is not None:
            await on_token(answer)


async def read_events(
    response: aiohttp.ClientResponse,
) -> AsyncIterator[dict[str, str]]:
    """Yield the fields of each server-sent event."""
    fields: dict[str, str] = {}
    async for line in response.content:
        text = line.decode().rstrip("\n")
        if text:
            name, _, value = text.partition(": ")
            fields[name] = value
            continue
        if "data" in fields:
            yield fields
        fields = {}
