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
