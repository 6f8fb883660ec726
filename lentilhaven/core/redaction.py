"""Redaction of secrets and payloads in logs and state dumps."""

import re
from collections.abc import MutableMapping
from typing import Any

#: Matches the names of fields whose value is a secret or the content of a request.
#: Fields such as ``token_file`` and ``token_timeout`` hold no secret.
SENSITIVE_NAME = re.compile(
    r"token(?!s?_file|_timeout|_hashes_file)|secret|password|authorization|prompt"
    r"|body|payload|content$|messages",
    re.IGNORECASE,
)

#: Matches a bearer token inside a string.
BEARER_TOKEN = re.compile(r"(?i)(bearer\s+)\S+")

MASK = "[hidden]"


def redact(
    logger: Any, method: str, event: MutableMapping[str, Any]
) -> MutableMapping[str, Any]:
    """
    Mask the secrets of a log line; this is a `structlog` processor.

    The line is changed in place.  Numbers are not masked, and lists and dictionaries
    are not searched.

    Examples
    --------
    >>> redact(None, "info", {"event": "shown Bearer abc", "token": "abc", "n": 1})
    {'event': 'shown Bearer [hidden]', 'token': '[hidden]', 'n': 1}
    """
    for name, value in event.items():
        if SENSITIVE_NAME.search(str(name)) and not isinstance(value, int | float):
            event[name] = MASK
        elif isinstance(value, str):
            event[name] = BEARER_TOKEN.sub(rf"\1{MASK}", value)
    return event


def redact_value(value: Any) -> Any:
    """
    Return plain data with secrets and payloads masked at any depth.

    Examples
    --------
    >>> redact_value({"workspaces": [{"id": "w", "token_hashes": ["sha256:1"]}]})
    {'workspaces': [{'id': 'w', 'token_hashes': '[hidden]'}]}
    """
    if isinstance(value, dict):
        return {name: redact_field(str(name), inner) for name, inner in value.items()}
    if isinstance(value, list | tuple):
        return [redact_value(inner) for inner in value]
    if isinstance(value, str):
        return BEARER_TOKEN.sub(rf"\1{MASK}", value)
    return value


def redact_field(name: str, value: Any) -> Any:
    """
    Return the mask if a field's name marks a secret, else the value redacted.

    Numbers and None are never masked.
    """
    is_number = isinstance(value, int | float)
    if SENSITIVE_NAME.search(name) and not is_number and value is not None:
        return MASK
    return redact_value(value)
