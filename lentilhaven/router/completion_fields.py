"""
Which fields a completion request may have.

A field that would change the answer and that the router can't honour is refused
rather than ignored, as is a field that nobody knows: a misspelt limit must not
pass for one that holds.
"""

from collections.abc import Callable
from typing import Any

#: Length of an answer when the caller names none, in tokens.
DEFAULT_MAX_TOKENS = 64

#: Longest answer that a caller may ask for, in tokens.
LONGEST_ANSWER = 32_768

#: Longest name of a model, in characters.
LONGEST_MODEL_NAME = 200

#: Fields that the interface itself reads.
READ = frozenset({"model", "prompt", "messages", "stream"})

#: Fields that do not change the answer.
HARMLESS = frozenset(
    {"user", "metadata", "store", "stream_options", "service_tier"}
    | {"safety_identifier", "prompt_cache_key", "seed"}
)

#: The values at which a field that the router can't honour changes nothing.
NEUTRAL: dict[str, tuple[object, ...]] = {
    "n": (1,),
    "best_of": (1,),
    "echo": (False,),
    "logprobs": (False, 0),
    "top_logprobs": (0,),
    "suffix": ("",),
    "stop": ("", []),
    "tools": ([],),
    "functions": ([],),
    "tool_choice": ("none", "auto"),
    "function_call": ("none", "auto"),
    "parallel_tool_calls": (True, False),
    "response_format": ({"type": "text"},),
    "logit_bias": ({},),
    "presence_penalty": (0,),
    "frequency_penalty": (0,),
    "modalities": (["text"],),
}


def find_problem(document: dict, chat: bool) -> str:
    """
    Return what is wrong with a request's fields, or an empty string.

    Parameters
    ----------
    document : dict
        The request's JSON object.
    chat : bool
        Whether it came over the chat interface.

    Examples
    --------
    >>> find_problem({"model": "m", "max_token": 3}, chat=True)
    'max_token: unknown field'
    >>> find_problem({"model": "m", "stop": ["."]}, chat=True)
    'stop: not supported'
    """
    misplaced = "prompt" if chat else "messages"
    if misplaced in document:
        return f"{misplaced}: belongs to the other interface"
    for name, check in CHECKS.items():
        value = document.get(name)
        if (value is not None or name == "model") and not check(value):
            return f"{name}: {EXPECTED[name]}, not {str(value)[:40]!r}"
    for name, value in document.items():
        problem = judge_field(name, value)
        if problem:
            return f"{str(name)[:40]!s}: {problem}"
    return ""


def judge_field(name: str, value: object) -> str:
    """Return what is wrong with a field that has no check of its own."""
    if name in READ or name in HARMLESS or name in CHECKS or value is None:
        return ""
    if name not in NEUTRAL:
        return "unknown field"
    return "" if value in NEUTRAL[name] else "not supported"


def is_model(value: Any) -> bool:
    """Return whether a value can name a model."""
    return isinstance(value, str) and 0 < len(value) <= LONGEST_MODEL_NAME


def is_length(value: Any) -> bool:
    """Return whether a value is a length that a caller may ask for."""
    whole = isinstance(value, int) and not isinstance(value, bool)
    return whole and 1 <= value <= LONGEST_ANSWER


def is_number(low: float, high: float) -> Callable[[Any], bool]:
    """Return a check that a value is a number within bounds."""

    def check(value: Any) -> bool:
        number = isinstance(value, int | float) and not isinstance(value, bool)
        return number and low <= value <= high

    return check


CHECKS: dict[str, Callable[[Any], bool]] = {
    "model": is_model,
    "max_tokens": is_length,
    "max_completion_tokens": is_length,
    "stream": lambda value: isinstance(value, bool),
    "temperature": is_number(0, 2),
    "top_p": is_number(0, 1),
}

EXPECTED = {
    "model": f"a string of 1 to {LONGEST_MODEL_NAME} characters is required",
    "max_tokens": f"must be a whole number from 1 to {LONGEST_ANSWER}",
    "max_completion_tokens": f"must be a whole number from 1 to {LONGEST_ANSWER}",
    "stream": "must be true or false",
    "temperature": "must be a number from 0 to 2",
    "top_p": "must be a number from 0 to 1",
}
