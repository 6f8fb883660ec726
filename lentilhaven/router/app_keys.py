"""What the handlers find in the application."""

from aiohttp import web

from lentilhaven.core.failure import FailureError
from lentilhaven.router.authentication import authenticate
from lentilhaven.router.router import Router
from lentilhaven.tables.workspace import Workspace

ROUTER: web.AppKey[Router] = web.AppKey("router", Router)


def read_workspace(request: web.Request) -> Workspace:
    """
    Return the caller's workspace.

    Raises
    ------
    FailureError
        If the caller shows no valid token.
    """
    tables = request.app[ROUTER].view.tables
    outcome = authenticate(tables, request.headers.get("Authorization", ""))
    if outcome.is_error():
        raise FailureError(outcome.error)
    return outcome.ok
