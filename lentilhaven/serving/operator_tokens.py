"""Authentication of operators by bearer tokens."""

import re
from pathlib import Path

from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.hashing import token_hash
from lentilhaven.core.secrets import bad_secret

#: Matches a result of `token_hash`.
TOKEN_HASH_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")

#: Path of the setting that names the file, for error messages.
SETTING = "$.operators.token_hashes_file"


def read_operator_hashes(path: str) -> Result[frozenset[str], Failure]:
    """
    Read the hashes of the tokens that authenticate operators.

    Parameters
    ----------
    path : str
        File with one hash per line; blank lines and lines that start with ``#``
        are skipped.  An empty path gives no hashes, so every token is rejected.

    Returns
    -------
    Result
        The hashes, or a failure if the file can't be read, has an invalid line or
        contains no hash.
    """
    if not path:
        return Ok(frozenset())
    try:
        lines = Path(path).read_text(encoding="utf-8").splitlines()
    except (OSError, ValueError) as error:
        reason = error.strerror if isinstance(error, OSError) else "not UTF-8"
        return Error(bad_secret(SETTING, f"{path!r} can't be read: {reason}"))
    hashes = [line.strip() for line in lines if line.strip() and line[0] != "#"]
    for number, entry in enumerate(hashes, 1):
        if not TOKEN_HASH_PATTERN.fullmatch(entry):
            detail = f"{path!r}, entry {number}: not a hash of the form sha256:HEX"
            return Error(bad_secret(SETTING, detail))
    if not hashes:
        return Error(bad_secret(SETTING, f"{path!r} contains no token hash"))
    return Ok(frozenset(hashes))


def is_operator(hashes: frozenset[str], header: str) -> bool:
    """
    Return whether an ``Authorization`` header contains an operator's token.

    The lookup uses the token's hash, so its timing reveals nothing about a token.

    Parameters
    ----------
    hashes : frozenset of str
        Hashes of the operators' tokens.
    header : str
        Value of the header.

    Examples
    --------
    >>> known = frozenset({token_hash("operator-token")})
    >>> is_operator(known, "Bearer operator-token"), is_operator(known, "Bearer x")
    (True, False)
    """
    scheme, _, token = header.partition(" ")
    return scheme.lower() == "bearer" and token_hash(token.strip()) in hashes
