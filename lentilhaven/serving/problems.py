"""
HTTP error responses as RFC 9457 problem documents.

References
----------
RFC 9457, "Problem Details for HTTP APIs".
"""

import json
from http import HTTPStatus

from aiohttp import web

from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step

#: Prefix of every problem's type, which is stable.
TYPE_PREFIX = "urn:lentilhaven:problem:"

#: HTTP status by kind of failure; the status of any other kind is 502, and so is that
#: of a request that may have run and would get a 503.
STATUS_BY_KIND = {
    "bad-request": 400,
    "bad-key": 400,
    "key-required": 400,
    "unauthenticated": 401,
    "resume-refused": 403,
    "no-route": 404,
    "no-method": 405,
    "slow": 408,
    "unknown-model": 404,
    "in-progress": 409,
    "outcome-unknown": 409,
    "response-not-recorded": 409,
    "key-expired": 409,
    "resume-mismatch": 409,
    "superseded": 409,
    "resume-expired": 410,
    "resume-lost": 410,
    "too-large": 413,
    "expectation-failed": 417,
    "key-reused": 422,
    "head-too-large": 431,
    "rate-limited": 429,
    "internal": 500,
    "leaving": 503,
    "no-pipeline": 503,
    "retry-budget": 503,
    "harmful-request": 503,
    "not-ready": 503,
    "overloaded": 503,
    "claim-unavailable": 503,
    "contended": 503,
    "journal-full": 503,
    "unsettled-calls": 503,
    "deadline": 504,
}


def status_code_of(failure: Failure) -> int:
    """
    Return the HTTP status of a failure.

    A 503 guarantees that the request has not run, so that callers may repeat it.

    Examples
    --------
    >>> status_code_of(Failure(Step.CHOOSE, "", "no-pipeline", "", Ran.NO))
    503
    >>> status_code_of(Failure(Step.CHOOSE, "", "no-pipeline", "", Ran.UNKNOWN))
    502
    """
    status = STATUS_BY_KIND.get(failure.kind, HTTPStatus.BAD_GATEWAY.value)
    if status == HTTPStatus.SERVICE_UNAVAILABLE and failure.ran is not Ran.NO:
        return HTTPStatus.BAD_GATEWAY.value
    return status


def problem_document(failure: Failure) -> dict:
    """
    Return the body of a problem response.

    Examples
    --------
    >>> failure = Failure(Step.ROUTE, "", "no-route", "nothing is called 'x'")
    >>> problem_document(failure)["type"], problem_document(failure)["ran"]
    ('urn:lentilhaven:problem:no-route', 'no')
    """
    document = {
        "type": TYPE_PREFIX + failure.kind,
        "title": failure.kind.replace("-", " "),
        "status": status_code_of(failure),
        "detail": failure.detail,
        "step": failure.step.value,
        "ran": failure.ran.value,
    }
    # The OpenAI client libraries display this message.
    document["error"] = {"message": str(failure), "type": failure.kind}
    return document


def problem_bytes(failure: Failure) -> bytes:
    """
    Return a complete HTTP response, for a connection whose request is not read.

    Parameters
    ----------
    failure : Failure
        The failure to report.
    """
    body = json.dumps(problem_document(failure)).encode()
    status = status_code_of(failure)
    head = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        "Content-Type: application/problem+json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if failure.retry_after is not None:
        head.append(f"Retry-After: {max(1, round(failure.retry_after))}")
    return "\r\n".join([*head, "", ""]).encode() + body


def problem_response(failure: Failure) -> web.Response:
    """
    Return the HTTP response that reports a failure to the client.

    Parameters
    ----------
    failure : Failure
        The failure to report.
    """
    headers = {}
    if failure.retry_after is not None:
        headers["Retry-After"] = str(max(1, round(failure.retry_after)))
    if failure.kind == "unauthenticated":
        headers["WWW-Authenticate"] = "Bearer"
    return web.json_response(
        problem_document(failure),
        status=status_code_of(failure),
        headers=headers,
        content_type="application/problem+json",
    )


def bad_request(detail: str) -> Failure:
    """Return the failure for a malformed request."""
    return Failure(Step.PARSE, "", "bad-request", detail, Ran.NO)
