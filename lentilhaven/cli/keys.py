"""The command ``keys``."""

import secrets

from lentilhaven.cli.common_options import DEFAULT_OPTIONS, CommonParameter
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json
from lentilhaven.core.hashing import token_hash

#: Number of random bytes in a token.
TOKEN_BYTES = 32


def keys(*, common: CommonParameter = DEFAULT_OPTIONS) -> int:
    """
    Generate a token and its hash.

    Give the token to the workspace, operator or process that authenticates with
    it, and put the hash into the tables (``token_hashes``) or into the file of
    operators' hashes.  The token is not stored anywhere.
    """
    token = secrets.token_urlsafe(TOKEN_BYTES)
    if common.json:
        print_json({"token": token, "hash": token_hash(token)})
        return ExitCode.OK
    print(f"token  {token}")
    print(f"hash   {token_hash(token)}")
    return ExitCode.OK
