"""Recorded responses of plain services, and their replay."""

import base64

from aiohttp import web

from lentilhaven.control.claim import ClaimAnswer, ClaimOutcome, RecordedResponse
from lentilhaven.endpoints.service_client import ServiceResponse
from lentilhaven.router.service_headers import forwarded_headers

#: Largest response that is recorded for replay, in bytes.
RECORD_LIMIT = 4096


def record_response(response: ServiceResponse) -> RecordedResponse:
    """
    Return what the journal keeps of a response.

    Parameters
    ----------
    response : ServiceResponse
        The service's response.
    """
    truncated = len(response.body) > RECORD_LIMIT
    body = b"" if truncated else response.body
    return RecordedResponse(
        status=response.status,
        content_type=response.headers.get("Content-Type", "application/octet-stream"),
        body=base64.b64encode(body).decode(),
        truncated=truncated,
    )


def recorded_or_none(answer: ClaimAnswer) -> RecordedResponse | None:
    """
    Return the response that an answer lets the router replay.

    Parameters
    ----------
    answer : ClaimAnswer
        The answer to a claim.
    """
    recorded = answer.response
    if answer.outcome is not ClaimOutcome.REPLAY or recorded is None:
        return None
    return None if recorded.truncated else recorded


def replay(recorded: RecordedResponse) -> web.Response:
    """
    Return a recorded response, marked as a replay.

    Parameters
    ----------
    recorded : RecordedResponse
        A response that was not truncated.
    """
    headers = {
        "Content-Type": recorded.content_type,
        "Idempotency-Replayed": "true",
    }
    body = base64.b64decode(recorded.body)
    return web.Response(status=recorded.status, headers=headers, body=body)


def relay(response: ServiceResponse) -> web.Response:
    """
    Return a service's response to the caller.

    Parameters
    ----------
    response : ServiceResponse
        The service's response.
    """
    headers = forwarded_headers(response.headers.items())
    return web.Response(status=response.status, headers=headers, body=response.body)
