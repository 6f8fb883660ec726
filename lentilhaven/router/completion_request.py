"""Parsing of completion requests as defined by the OpenAI API."""

import json
import re

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import ModelName
from lentilhaven.router.completion_fields import DEFAULT_MAX_TOKENS, find_field_error
from lentilhaven.router.problems import bad_request


@attrs.frozen
class CompletionRequest:
    """
    A parsed completion request.

    Attributes
    ----------
    model : str
        Model name in the request.
    prompt : list of str
        Tokens of the prompt, as returned by `split_tokens`.
    max_tokens : int
        Maximum length of the answer, in tokens.
    stream : bool
        Whether the answer is sent as server-sent events.
    chat : bool
        Whether the request uses the chat API.
    """

    model: ModelName
    prompt: list[str]
    max_tokens: int
    stream: bool
    chat: bool


def parse_completion(body: bytes, chat: bool) -> Result[CompletionRequest, Failure]:
    """
    Parse the body of a completion request.

    Parameters
    ----------
    body : bytes
        JSON text in UTF-8.
    chat : bool
        Whether the request uses the chat API.

    Examples
    --------
    >>> parse_completion(b'{"model": "m", "prompt": "a b"}', chat=False).ok.prompt
    ['a ', 'b']
    >>> parse_completion(b'[]', chat=False).error.detail
    'the body must be a JSON object'
    >>> parse_completion(b'{"model": "m", "seed": NaN}', chat=False).error.detail
    'the body is not JSON: NaN is no JSON number'
    """
    try:
        document = json.loads(body.decode(), parse_constant=reject_constant)
    except (ValueError, RecursionError) as error:
        return Error(bad_request(f"the body is not JSON: {error}"))
    if not isinstance(document, dict):
        return Error(bad_request("the body must be a JSON object"))
    problem = find_field_error(document, chat)
    if problem:
        return Error(bad_request(problem))
    text = read_chat_prompt(document) if chat else read_prompt(document)
    return text.map(lambda it: build_request(document, it, chat))


def reject_constant(name: str) -> float:
    """Reject the constants that Python's parser accepts beyond standard JSON."""
    raise ValueError(f"{name} is no JSON number")


def read_prompt(document: dict) -> Result[str, Failure]:
    """Return the prompt of a text completion, given as a string or as a list of one."""
    prompt = document.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt.strip():
        return Error(bad_request("prompt: a non-empty string is required"))
    if not is_encodable(prompt):
        return Error(bad_request("prompt: holds half of a surrogate pair"))
    return Ok(prompt)


def read_chat_prompt(document: dict) -> Result[str, Failure]:
    """Return the messages of a chat request as one prompt."""
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return Error(bad_request("messages: a non-empty list is required"))
    lines = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            return Error(bad_request(f"messages[{index}]: must be an object"))
        role, content = message.get("role"), read_message_text(message)
        if not isinstance(role, str) or content is None:
            detail = f"messages[{index}]: role and content must be text"
            return Error(bad_request(detail))
        if not is_encodable(role + content):
            detail = f"messages[{index}]: holds half of a surrogate pair"
            return Error(bad_request(detail))
        lines.append(f"{role}: {content}\n")
    return Ok("".join(lines) + "assistant:")


def read_message_text(message: dict) -> str | None:
    """
    Return the text of a message, or None if its content is not only text.

    The content is a string, or a list of text parts, which are joined.

    Examples
    --------
    >>> read_message_text({"content": [{"type": "text", "text": "a"}]})
    'a'
    >>> read_message_text({"content": [{"type": "image_url", "image_url": {}}]})
    """
    content = message.get("content")
    if isinstance(content, str):
        return content
    if not isinstance(content, list) or not content:
        return None
    texts = [part.get("text") if isinstance(part, dict) else None for part in content]
    valid = [text for text in texts if isinstance(text, str)]
    return "".join(valid) if len(valid) == len(texts) else None


def is_encodable(text: str) -> bool:
    """
    Return whether text can be encoded as UTF-8.

    Examples
    --------
    >>> is_encodable("meter"), is_encodable(chr(0xD800))
    (True, False)
    """
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def build_request(document: dict, text: str, chat: bool) -> CompletionRequest:
    """Build a request from a validated document and the text of its prompt."""
    limit = document.get("max_completion_tokens") or document.get("max_tokens")
    return CompletionRequest(
        model=ModelName(document["model"]),
        prompt=split_tokens(text),
        max_tokens=limit or DEFAULT_MAX_TOKENS,
        stream=bool(document.get("stream")),
        chat=chat,
    )


def split_tokens(text: str) -> list[str]:
    """
    Split text into tokens whose concatenation is the text.

    Examples
    --------
    >>> split_tokens(" a  b")
    [' a  ', 'b']
    """
    return re.findall(r"\s*\S+\s*", text)
