"""Answers of the gateway's own."""

import json

from aiohttp import web

from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.platform import headers

#: Status codes by the kind of failure; others follow from whether it has run.
STATUS = {
    "bad-request": 400,
    "unknown-key": 401,
    "no-route": 404,
    "too-large": 413,
    "timeout": 504,
}

#: Seconds after which a caller may come back if nothing better is known.
RETRY_AFTER = 0.25


def refuse(failure: Failure) -> web.Response:
    """
    Return the answer to a request that failed here.

    A 503 promises that the request has not run, so that it is given for nothing
    else; what may have run is a 502 or a 504.

    Parameters
    ----------
    failure : Failure
        What went wrong.
    """
    status = status_of(failure)
    body = {
        "title": failure.kind,
        "detail": failure.detail,
        "step": failure.step.value,
        "ran": failure.ran.value,
    }
    answer = web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/problem+json",
    )
    if status == 503:
        wait = RETRY_AFTER if failure.retry_after is None else failure.retry_after
        answer.headers[headers.RETRY_AFTER] = f"{wait:.3f}"
    return answer


def status_of(failure: Failure) -> int:
    """
    Return the status code of a failure.

    Examples
    --------
    >>> from lentilhaven.core.step import Step
    >>> status_of(Failure(Step.ADMIT, "", "saturated", "", ran=Ran.NO))
    503
    >>> status_of(Failure(Step.STREAM, "", "reset", "", ran=Ran.UNKNOWN))
    502
    """
    if failure.kind in STATUS:
        return STATUS[failure.kind]
    return 503 if failure.ran is Ran.NO else 502
