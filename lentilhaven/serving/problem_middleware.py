"""Middleware that converts exceptions of handlers to problem documents."""

import asyncio

from aiohttp import web

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.logs import describe_exception, get_logger
from lentilhaven.core.step import Step
from lentilhaven.serving.guarded_connection import internal_failure
from lentilhaven.serving.problems import problem_response

#: Kind of failure by HTTP status; any other status is a "bad-request".
KIND_BY_STATUS = {
    401: "unauthenticated",
    404: "no-route",
    405: "no-method",
    413: "too-large",
}

log = get_logger("serving")


@web.middleware
async def problem_middleware(request: web.Request, handler) -> web.StreamResponse:
    """
    Respond with a problem document to a failure, HTTP error or other exception.

    Cancellations and connection errors are raised again, not converted.
    """
    try:
        return await handler(request)
    except FailureError as error:
        return problem_response(error.failure)
    except web.HTTPException as error:
        kind = KIND_BY_STATUS.get(error.status, "bad-request")
        step = Step.ROUTE if error.status in (404, 405) else Step.PARSE
        return problem_response(Failure(step, "", kind, error.text or error.reason))
    except (asyncio.CancelledError, ConnectionError):
        raise
    except Exception as error:
        log.error("unhandled error", **describe_exception(error))
        return problem_response(internal_failure())
