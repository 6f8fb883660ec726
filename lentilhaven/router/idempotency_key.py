"""
Validation of the ``Idempotency-Key`` header.

References
----------
IETF draft-ietf-httpapi-idempotency-key-header, "The Idempotency-Key HTTP Header
Field".
"""

import re

from multidict import CIMultiDictProxy

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step

IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"

#: 1 to 255 printable ASCII characters other than space, double quote and backslash,
#: with or without double quotes around them.
KEY_PATTERN = re.compile(r'("?)[!#-\[\]-~]{1,255}\1')


def check_idempotency_key(headers: CIMultiDictProxy[str]) -> Failure | None:
    """
    Return the failure of a request whose key is malformed or repeated.

    Parameters
    ----------
    headers : CIMultiDictProxy
        Headers of the request.

    Returns
    -------
    Failure or None
        None if the key is well formed or missing.

    Examples
    --------
    >>> from multidict import CIMultiDict, CIMultiDictProxy
    >>> def check(*keys):
    ...     pairs = [(IDEMPOTENCY_KEY_HEADER, key) for key in keys]
    ...     return check_idempotency_key(CIMultiDictProxy(CIMultiDict(pairs)))
    >>> check(), check("issue-4711"), check('"issue-4711"')
    (None, None, None)
    >>> check("a b").kind, check("a", "a").kind, check('"a').kind
    ('bad-key', 'bad-key', 'bad-key')
    """
    keys = headers.getall(IDEMPOTENCY_KEY_HEADER, [])
    if len(keys) > 1:
        return bad_key(f"{IDEMPOTENCY_KEY_HEADER} was sent {len(keys)} times")
    if keys and not KEY_PATTERN.fullmatch(keys[0].strip()):
        return bad_key(
            f"{IDEMPOTENCY_KEY_HEADER} must be 1 to 255 printable ASCII characters"
        )
    return None


def bad_key(detail: str) -> Failure:
    """Return the failure of a malformed or repeated key."""
    return Failure(Step.PARSE, "", "bad-key", detail)
