"""The tokens of operators."""

import re
from pathlib import Path

from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.hashing import token_hash
from lentilhaven.core.secrets import bad_secret

#: What `token_hash` makes.
HASH_FORM = re.compile(r"sha256:[0-9a-f]{64}")

SETTING = "$.operators.token_hashes_file"


def read_operator_hashes(path: str) -> Result[frozenset[str], Failure]:
    """
    Return the hashes of the tokens that operators may show.

    Parameters
    ----------
    path : str
        File with one hash a line; blank lines and lines that start with ``#``
        are skipped.  An empty path gives no hashes, which refuses everybody.
    """
    if not path:
        return Ok(frozenset())
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        return Error(bad_secret(SETTING, f"{path!r} can't be read: {reason}"))
    hashes = [line.strip() for line in lines if line.strip() and line[0] != "#"]
    for number, known in enumerate(hashes, 1):
        if not HASH_FORM.fullmatch(known):
            detail = f"{path!r}, entry {number}: not a hash of the form sha256:HEX"
            return Error(bad_secret(SETTING, detail))
    if not hashes:
        return Error(bad_secret(SETTING, f"{path!r} holds no hash"))
    return Ok(frozenset(hashes))


def is_operator(hashes: frozenset[str], header: str) -> bool:
    """
    Return whether an ``Authorization`` header shows an operator's token.

    The lookup is by the token's hash, whose timing tells nothing of a token.

    Parameters
    ----------
    hashes : frozenset of str
        Hashes of the operators' tokens.
    header : str
        The header's value.

    Examples
    --------
    >>> known = frozenset({token_hash("operator-token")})
    >>> is_operator(known, "Bearer operator-token"), is_operator(known, "Bearer x")
    (True, False)
    """
    scheme, _, token = header.partition(" ")
    return scheme.lower() == "bearer" and token_hash(token.strip()) in hashes
