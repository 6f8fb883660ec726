"""Application keys of the HTTP handlers, and authentication of requests."""

from aiohttp import web

from lentilhaven.core.failure import FailureError
from lentilhaven.router.authentication import WorkspaceIndex
from lentilhaven.router.router import Router
from lentilhaven.tables.workspace import Workspace

ROUTER: web.AppKey[Router] = web.AppKey("router", Router)
WORKSPACE_INDEX: web.AppKey[WorkspaceIndex] = web.AppKey("index", WorkspaceIndex)


def authenticate_caller(request: web.Request) -> Workspace:
    """
    Authenticate the caller by its bearer token and return the caller's workspace.

    Parameters
    ----------
    request : aiohttp.web.Request
        Request of the caller.

    Raises
    ------
    FailureError
        If the request carries no valid token.
    """
    tables = request.app[ROUTER].view.tables
    header = request.headers.get("Authorization", "")
    outcome = request.app[WORKSPACE_INDEX].authenticate(tables, header)
    if outcome.is_error():
        raise FailureError(outcome.error)
    return outcome.ok
