"""What the handlers find in the application."""

from aiohttp import web

from lentilhaven.core.failure import FailureError
from lentilhaven.router.authentication import WorkspaceIndex
from lentilhaven.router.router import Router
from lentilhaven.tables.workspace import Workspace

ROUTER: web.AppKey[Router] = web.AppKey("router", Router)
INDEX: web.AppKey[WorkspaceIndex] = web.AppKey("index", WorkspaceIndex)


def read_workspace(request: web.Request) -> Workspace:
    """
    Return the caller's workspace.

    Raises
    ------
    FailureError
        If the caller shows no valid token.
    """
    tables = request.app[ROUTER].view.tables
    header = request.headers.get("Authorization", "")
    outcome = request.app[INDEX].authenticate(tables, header)
    if outcome.is_error():
        raise FailureError(outcome.error)
    return outcome.ok
