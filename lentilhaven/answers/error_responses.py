"""Error responses of the gateway itself."""

import json

from aiohttp import web

from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.platform import headers

#: Status codes by kind of failure; for other kinds the code depends on whether the
#: request has run.
STATUS_BY_KIND = {
    "bad-request": 400,
    "unknown-key": 401,
    "no-route": 404,
    "too-large": 413,
    "head-too-large": 431,
    "timeout": 504,
}

#: Seconds after which a caller may retry if the failure states no other time.
DEFAULT_RETRY_AFTER = 0.25


def make_error_response(failure: Failure) -> web.Response:
    """
    Return the response to a request that failed at this gateway.

    A 503 guarantees that the request has not run and is used for no other case;
    a request that may have run gets a 502 or a 504, and an invalid one a 4xx.

    Parameters
    ----------
    failure : Failure
        The failure.
    """
    status = status_code_of(failure)
    body = {
        "title": failure.kind,
        "detail": failure.detail,
        "step": failure.step.value,
        "ran": failure.ran.value,
    }
    response = web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/problem+json",
    )
    if status == 503:
        retry_after = (
            DEFAULT_RETRY_AFTER if failure.retry_after is None else failure.retry_after
        )
        response.headers[headers.RETRY_AFTER] = f"{retry_after:.3f}"
    return response


def status_code_of(failure: Failure) -> int:
    """
    Return the status code of a failure.

    Examples
    --------
    >>> from lentilhaven.core.step import Step
    >>> status_code_of(Failure(Step.ADMIT, "", "saturated", "", ran=Ran.NO))
    503
    >>> status_code_of(Failure(Step.STREAM, "", "reset", "", ran=Ran.UNKNOWN))
    502
    """
    if failure.kind in STATUS_BY_KIND:
        return STATUS_BY_KIND[failure.kind]
    return 503 if failure.ran is Ran.NO else 502
