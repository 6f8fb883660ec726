"""Encoding of completions as server-sent events."""

import json
from collections.abc import Callable

from lentilhaven.answers.event_id import encode_stream, sign_event
from lentilhaven.core.failure import Failure
from lentilhaven.router.answer import Answer
from lentilhaven.router.problems import problem_document
from lentilhaven.router.resuming import make_resume_point
from lentilhaven.router.router import Router

#: Last event of a complete answer.
DONE_EVENT = b"data: [DONE]\n\n"

#: Encodes one event from a position, a token and a finish reason (empty for none).
EventEncoder = Callable[[int, str, str], bytes]


def make_event_encoder(router: Router, answer: Answer) -> EventEncoder:
    """
    Return a function that encodes the events of the current attempt.

    The part that all events of the attempt share is encoded only once.

    Parameters
    ----------
    router : Router
        Provides the key that signs event ids.
    answer : Answer
        The answer.
    """
    stream = encode_stream(make_resume_point(router, answer))
    key = router.event_key
    chat = answer.completion_request.chat
    object_type = "chat.completion.chunk" if chat else "text_completion"
    shared = json.dumps(common_fields(router, answer, object_type))[:-1]
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
    """Return the event that ends an answer after a failure."""
    document = json.dumps(problem_document(failure))
    return f"event: error\ndata: {document}\n\n".encode()


def common_fields(router: Router, answer: Answer, object_type: str) -> dict:
    """Return the fields that all JSON documents of an answer share."""
    return {
        "id": answer.request,
        "object": object_type,
        "created": int(router.clock.wall()),
        "model": answer.completion_request.model,
    }
