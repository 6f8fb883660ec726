"""Client for completions that records how each response ends."""

import json
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import attrs

#: Exceptions raised when the connection to the router fails.
CONNECTION_ERRORS = (aiohttp.ClientError, TimeoutError, OSError)


@attrs.define
class CompletionResult:
    """
    What a caller has received of a completion.

    Attributes
    ----------
    tokens : list of str
        Text of each event; the complete text as one entry if it was not streamed.
    event_id : str
        Id of the last event, from which a later request can resume.
    finish_reason : str
        Why generation ended; empty if it has not ended.
    done : bool
        Whether the ``[DONE]`` event or a complete response has arrived.
    error : dict or None
        Problem document that ended the response; None if there is none.
    connection_error : str
        Exception that broke the connection, as text; empty if there was none.
    """

    tokens: list[str] = attrs.field(factory=list)
    event_id: str = ""
    finish_reason: str = ""
    done: bool = False
    error: dict | None = None
    connection_error: str = ""

    @property
    def text(self) -> str:
        """Return the text received so far."""
        return "".join(self.tokens)

    @property
    def truncated_silently(self) -> bool:
        """
        Return whether the response stopped without any sign of why.

        It has neither its end nor an error, and the connection did not break.
        """
        return not self.done and self.error is None and not self.connection_error


TokenCallback = Callable[[CompletionResult], Awaitable[None]]


async def request_completion(
    session: aiohttp.ClientSession,
    url: str,
    headers: dict[str, str],
    body: dict,
    answer: CompletionResult | None = None,
    on_token: TokenCallback | None = None,
) -> CompletionResult:
    """
    Request a completion and read the response to its end.

    If `answer` holds an event id, the request resumes the stream after that event.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session of the caller.
    url : str
        Base URL of a router.
    headers : dict
        Headers with the workspace's token.
    body : dict
        JSON body of the request.
    answer : CompletionResult or None
        Answer received by earlier requests, which is extended; None for a new answer.
    on_token : coroutine function or None
        Called with the answer after each event that has text.
    """
    answer = answer if answer is not None else CompletionResult()
    answer.connection_error, answer.error = "", None
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
                read_completion(await response.json(), answer)
    except CONNECTION_ERRORS as error:
        answer.connection_error = repr(error)
    return answer


def read_completion(document: dict, answer: CompletionResult) -> None:
    """Add a complete response to the answer."""
    choice = document["choices"][0]
    answer.tokens.append(choice["text"])
    answer.finish_reason = choice["finish_reason"]
    answer.done = True


async def read_stream(
    response: aiohttp.ClientResponse,
    answer: CompletionResult,
    on_token: TokenCallback | None,
) -> None:
    """Add server-sent events to the answer until the stream ends."""
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
