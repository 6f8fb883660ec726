"""Finds the workspace that a bearer token belongs to."""

import hmac

from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.hashing import token_hash
from lentilhaven.core.step import Step
from lentilhaven.tables.tables import Tables
from lentilhaven.tables.workspace import Workspace


def authenticate(tables: Tables, header: str) -> Result[Workspace, Failure]:
    """
    Return the workspace whose token a caller shows.

    Every hash is compared, and each in constant time, so that the time taken
    tells nothing of which one matched.

    Parameters
    ----------
    tables : Tables
        Tables in force.
    header : str
        Value of the ``Authorization`` header.
    """
    scheme, _, token = header.partition(" ")
    if scheme.lower() != "bearer" or not token:
        return Error(unauthenticated("a bearer token is required"))
    shown = token_hash(token.strip()).encode()
    found = None
    for workspace in tables.workspaces:
        for known in workspace.token_hashes:
            if hmac.compare_digest(shown, known.encode()):
                found = workspace
    if found is None:
        return Error(unauthenticated("the token is not known"))
    return Ok(found)


def unauthenticated(detail: str) -> Failure:
    """Return the failure of a caller without a valid token."""
    return Failure(Step.AUTHENTICATE, "", "unauthenticated", detail)
