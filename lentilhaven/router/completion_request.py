"""Requests for completions, in the OpenAI style."""

import json
import re

import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.ids import ModelName
from lentilhaven.router.problems import bad_request

#: Length of an answer when the caller names none, in tokens.
DEFAULT_MAX_TOKENS = 64

#: Longest answer that a caller may ask for, in tokens.
LONGEST_ANSWER = 32_768

#: Fields that would change the answer and that the router can't honour.
UNSUPPORTED = ("logprobs", "tools", "functions", "best_of", "suffix", "echo")


@attrs.frozen
class CompletionRequest:
    """
    A parsed request.

    Attributes
    ----------
    model : str
        Model that the caller names.
    prompt : list of str
        Tokens of the prompt.
    max_tokens : int
        Longest answer, in tokens.
    stream : bool
        Whether the answer is sent as server-sent events.
    chat : bool
        Whether it came over the chat interface.
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
        JSON text.
    chat : bool
        Whether it came over the chat interface.

    Examples
    --------
    >>> parse_completion(b'{"model": "m", "prompt": "a b"}', chat=False).ok.prompt
    ['a ', 'b']
    >>> parse_completion(b'[]', chat=False).error.detail
    'the body must be a JSON object'
    """
    try:
        document = json.loads(body)
    except (ValueError, RecursionError) as error:
        return Error(bad_request(f"the body is not JSON: {error}"))
    if not isinstance(document, dict):
        return Error(bad_request("the body must be a JSON object"))
    problem = find_problem(document)
    if problem:
        return Error(bad_request(problem))
    text = read_chat(document) if chat else read_prompt(document)
    return text.map(lambda it: build_request(document, it, chat))


def find_problem(document: dict) -> str:
    """Return what is wrong with the plain fields, or an empty string."""
    model = document.get("model")
    if not isinstance(model, str) or not model:
        return "model: a non-empty string is required"
    stream = document.get("stream", False)
    if not isinstance(stream, bool):
        return f"stream: must be true or false, not {stream!r}"
    if document.get("n", 1) != 1:
        return "n: only 1 answer can be asked for"
    limit = read_limit(document)
    if isinstance(limit, bool) or not isinstance(limit, int):
        return f"max_tokens: must be an integer, not {limit!r}"
    if not 1 <= limit <= LONGEST_ANSWER:
        return f"max_tokens: must be from 1 to {LONGEST_ANSWER}, not {limit}"
    for name in UNSUPPORTED:
        if document.get(name):
            return f"{name}: not supported"
    return ""


def read_limit(document: dict) -> object:
    """Return the length limit under either of its names."""
    for name in ("max_completion_tokens", "max_tokens"):
        if document.get(name) is not None:
            return document[name]
    return DEFAULT_MAX_TOKENS


def read_prompt(document: dict) -> Result[str, Failure]:
    """Return the text of a plain prompt."""
    prompt = document.get("prompt")
    if isinstance(prompt, list) and len(prompt) == 1:
        prompt = prompt[0]
    if not isinstance(prompt, str) or not prompt.strip():
        return Error(bad_request("prompt: a non-empty string is required"))
    return Ok(prompt)


def read_chat(document: dict) -> Result[str, Failure]:
    """Return the text of a conversation."""
    messages = document.get("messages")
    if not isinstance(messages, list) or not messages:
        return Error(bad_request("messages: a non-empty list is required"))
    lines = []
    for index, message in enumerate(messages):
        if not isinstance(message, dict):
            return Error(bad_request(f"messages[{index}]: must be an object"))
        role, content = message.get("role"), message.get("content")
        if not isinstance(role, str) or not isinstance(content, str):
            detail = f"messages[{index}]: role and content must be strings"
            return Error(bad_request(detail))
        lines.append(f"{role}: {content}\n")
    return Ok("".join(lines) + "assistant:")


def build_request(document: dict, text: str, chat: bool) -> CompletionRequest:
    """Return the request that a checked document stands for."""
    limit = read_limit(document)
    return CompletionRequest(
        model=ModelName(document["model"]),
        prompt=split_tokens(text),
        max_tokens=limit if isinstance(limit, int) else DEFAULT_MAX_TOKENS,
        stream=document.get("stream", False),
        chat=chat,
    )


def split_tokens(text: str) -> list[str]:
    """
    Split text into tokens that join to it again.

    Examples
    --------
    >>> split_tokens(" a  b")
    [' a  ', 'b']
    """
    return re.findall(r"\s*\S+\s*", text)
