"""
Validation of the fields of a completion request.

A field that would change the answer but is not supported is rejected rather than
ignored.  Unknown fields are rejected too, since a caller who misspells a limit must
not believe that the limit is enforced.
"""

from collections.abc import Callable
from typing import Any

#: Maximum length of an answer if the request sets none, in tokens.
DEFAULT_MAX_TOKENS = 64

#: Largest maximum length that a request may set, in tokens.
MAX_OUTPUT_TOKENS = 32_768

#: Maximum length of a model name, in characters.
MAX_MODEL_NAME_LENGTH = 200

#: Fields that the request parser reads.
PARSED_FIELDS = frozenset({"model", "prompt", "messages", "stream"})

#: Fields that are accepted and ignored, since they do not change the answer.
IGNORED_FIELDS = frozenset(
    {"user", "metadata", "store", "stream_options", "service_tier"}
    | {"safety_identifier", "prompt_cache_key", "seed"}
)

#: Accepted values of unsupported fields, which do not change the answer.
NO_EFFECT_VALUES: dict[str, tuple[object, ...]] = {
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


def find_field_error(document: dict, chat: bool) -> str:
    """
    Return the first error in a request's fields, or an empty string.

    Parameters
    ----------
    document : dict
        The request's JSON object.
    chat : bool
        Whether the request uses the chat API.

    Examples
    --------
    >>> find_field_error({"model": "m", "max_token": 3}, chat=True)
    'max_token: unknown field'
    >>> find_field_error({"model": "m", "stop": ["."]}, chat=True)
    'stop: not supported'
    """
    misplaced = "prompt" if chat else "messages"
    if misplaced in document:
        return f"{misplaced}: belongs to the other interface"
    for name, check in FIELD_CHECKS.items():
        value = document.get(name)
        if (value is not None or name == "model") and not check(value):
            return f"{name}: {FIELD_REQUIREMENTS[name]}, not {str(value)[:40]!r}"
    for name, value in document.items():
        problem = check_field(name, value)
        if problem:
            return f"{str(name)[:40]!s}: {problem}"
    return ""


def check_field(name: str, value: object) -> str:
    """
    Return the error in a field that `FIELD_CHECKS` does not check.

    The result is an empty string if there is no error.
    """
    if (
        name in PARSED_FIELDS
        or name in IGNORED_FIELDS
        or name in FIELD_CHECKS
        or value is None
    ):
        return ""
    if name not in NO_EFFECT_VALUES:
        return "unknown field"
    return "" if value in NO_EFFECT_VALUES[name] else "not supported"


def is_model_name(value: Any) -> bool:
    """Return whether a value is a valid model name."""
    return isinstance(value, str) and 0 < len(value) <= MAX_MODEL_NAME_LENGTH


def is_token_limit(value: Any) -> bool:
    """Return whether a value is a valid maximum length of an answer."""
    integer = isinstance(value, int) and not isinstance(value, bool)
    return integer and 1 <= value <= MAX_OUTPUT_TOKENS


def make_range_check(low: float, high: float) -> Callable[[Any], bool]:
    """Return a function that tells whether a value is a number from low to high."""

    def check(value: Any) -> bool:
        number = isinstance(value, int | float) and not isinstance(value, bool)
        return number and low <= value <= high

    return check


FIELD_CHECKS: dict[str, Callable[[Any], bool]] = {
    "model": is_model_name,
    "max_tokens": is_token_limit,
    "max_completion_tokens": is_token_limit,
    "stream": lambda value: isinstance(value, bool),
    "temperature": make_range_check(0, 2),
    "top_p": make_range_check(0, 1),
}

FIELD_REQUIREMENTS = {
    "model": f"a string of 1 to {MAX_MODEL_NAME_LENGTH} characters is required",
    "max_tokens": f"must be a whole number from 1 to {MAX_OUTPUT_TOKENS}",
    "max_completion_tokens": f"must be a whole number from 1 to {MAX_OUTPUT_TOKENS}",
    "stream": "must be true or false",
    "temperature": "must be a number from 0 to 2",
    "top_p": "must be a number from 0 to 1",
}
