"""The command ``keys``."""

import secrets

from lentilhaven.cli.common_options import DEFAULTS, Common
from lentilhaven.cli.exit_codes import ExitCode
from lentilhaven.cli.output import print_json
from lentilhaven.core.hashing import token_hash

#: Random bytes of a token.
TOKEN_BYTES = 32


def keys(*, common: Common = DEFAULTS) -> int:
    """
    Make a token and its hash.

    The token goes to the customer, operator or process that shows it; the hash
    goes into the tables (``token_hashes``) or into the file of operators'
    hashes.  Nothing keeps the token.
    """
    token = secrets.token_urlsafe(TOKEN_BYTES)
    if common.json:
        print_json({"token": token, "hash": token_hash(token)})
        return ExitCode.OK
    print(f"token  {token}")
    print(f"hash   {token_hash(token)}")
    return ExitCode.OK
