"""Server-sent events of completions."""

import json
from collections.abc import Callable

from lentilhaven.answers.event_id import encode_stream, sign_event
from lentilhaven.core.failure import Failure
from lentilhaven.router.answer import Answer
from lentilhaven.router.problems import problem_document
from lentilhaven.router.resuming import stream_point
from lentilhaven.router.router import Router

#: Closes an answer that is complete.
DONE = b"data: [DONE]\n\n"

#: Encodes the token at a position; the last argument is the finish reason.
EventEncoder = Callable[[int, str, str], bytes]


def event_encoder(router: Router, answer: Answer) -> EventEncoder:
    """
    Return a function that encodes the events of the current attempt.

    What is the same for all of them is encoded once.

    Parameters
    ----------
    router : Router
        Signs event ids.
    answer : Answer
        The answer.
    """
    stream = encode_stream(stream_point(router, answer))
    key = router.event_key
    chat = answer.wanted.chat
    kind = "chat.completion.chunk" if chat else "text_completion"
    shared = json.dumps(envelope(router, answer, kind))[:-1]
    opening = '{"role": "assistant", "content": ' if chat else ""
    field, closing = ('"delta": ' + opening, "}") if chat else ('"text": ', "")

    def encode(position: int, token: str, finish_reason: str) -> bytes:
        event_id = sign_event(key, stream, position + 1, bool(finish_reason))
        finish = f'"{finish_reason}"' if finish_reason else "null"
        return (
            f'id: {event_id}\ndata: {shared}, "choices": [{{"index": 0, '
            f'"finish_reason": {finish}, {field}{json.dumps(token)}{closing}}}]}}\n\n'
        ).encode()

    return encode


def error_event(failure: Failure) -> bytes:
    """Return the event that ends an answer which can't be completed."""
    document = json.dumps(problem_document(failure))
    return f"event: error\ndata: {document}\n\n".encode()


def envelope(router: Router, answer: Answer, kind: str) -> dict:
    """Return the fields that every document of an answer has."""
    return {
        "id": answer.request,
        "object": kind,
        "created": int(router.clock.wall()),
        "model": answer.wanted.model,
    }
