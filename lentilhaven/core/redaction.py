"""Keeps secrets and payloads out of logs and dumps."""

import re
from collections.abc import MutableMapping
from typing import Any

#: Words that mark a field whose value is a secret or a caller's content.
HIDDEN = re.compile(
    r"token(?!s?_file|_timeout|_hashes_file)|secret|password|authorization|prompt"
    r"|body|payload|content$|messages",
    re.IGNORECASE,
)

#: A bearer token inside a text.
BEARER = re.compile(r"(?i)(bearer\s+)\S+")

MASK = "[hidden]"


def redact(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """
    Mask the secrets of a log line; a processor for `structlog`.

    Examples
    --------
    >>> redact(None, "info", {"event": "shown Bearer abc", "token": "abc", "n": 1})
    {'event': 'shown Bearer [hidden]', 'token': '[hidden]', 'n': 1}
    """
    for name, value in event.items():
        if HIDDEN.search(str(name)) and not isinstance(value, int | float):
            event[name] = MASK
        elif isinstance(value, str):
            event[name] = BEARER.sub(rf"\1{MASK}", value)
    return event


def hide_secrets(value: Any) -> Any:
    """
    Return plain data with secrets and payloads masked, at any depth.

    Examples
    --------
    >>> hide_secrets({"workspaces": [{"id": "w", "token_hashes": ["sha256:1"]}]})
    {'workspaces': [{'id': 'w', 'token_hashes': '[hidden]'}]}
    """
    if isinstance(value, dict):
        return {name: hide_field(str(name), inner) for name, inner in value.items()}
    if isinstance(value, list | tuple):
        return [hide_secrets(inner) for inner in value]
    if isinstance(value, str):
        return BEARER.sub(rf"\1{MASK}", value)
    return value


def hide_field(name: str, value: Any) -> Any:
    """Return the value of a field, or a mask if its name marks a secret."""
    number = isinstance(value, int | float)
    if HIDDEN.search(name) and not number and value is not None:
        return MASK
    return hide_secrets(value)
