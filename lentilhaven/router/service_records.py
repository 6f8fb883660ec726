"""Recording, replay and relay of the responses of plain services."""

import base64

from aiohttp import web

from lentilhaven.control.claim import ClaimAnswer, ClaimOutcome, RecordedResponse
from lentilhaven.endpoints.service_client import ServiceResponse
from lentilhaven.router.service_headers import forwarded_headers

#: Largest response body that is recorded for replay, in bytes.
MAX_RECORDED_BYTES = 4096


def record_response(response: ServiceResponse) -> RecordedResponse:
    """
    Return the record of a response for the journal.

    Parameters
    ----------
    response : ServiceResponse
        Response of the service.

    Returns
    -------
    RecordedResponse
        The record; its body is empty if the response is too large.
    """
    truncated = len(response.body) > MAX_RECORDED_BYTES
    body = b"" if truncated else response.body
    return RecordedResponse(
        status=response.status,
        content_type=response.headers.get("Content-Type", "application/octet-stream"),
        body=base64.b64encode(body).decode(),
        truncated=truncated,
    )


def replayable_response(answer: ClaimAnswer) -> RecordedResponse | None:
    """
    Return the recorded response that answers a claimed call, if there is one.

    Parameters
    ----------
    answer : ClaimAnswer
        Answer to the claim.

    Returns
    -------
    RecordedResponse or None
        None if the call is not to be replayed or its record is truncated.
    """
    recorded = answer.response
    if answer.outcome is not ClaimOutcome.REPLAY or recorded is None:
        return None
    return None if recorded.truncated else recorded


def replay_response(recorded: RecordedResponse) -> web.Response:
    """
    Convert a recorded response to an HTTP response that is marked as a replay.

    Parameters
    ----------
    recorded : RecordedResponse
        Record that is not truncated.
    """
    headers = {
        "Content-Type": recorded.content_type,
        "Idempotency-Replayed": "true",
    }
    body = base64.b64decode(recorded.body)
    return web.Response(status=recorded.status, headers=headers, body=body)


def relay_response(response: ServiceResponse) -> web.Response:
    """
    Convert a response of a service to the response sent to the caller.

    Parameters
    ----------
    response : ServiceResponse
        Response of the service.
    """
    headers = forwarded_headers(response.headers.items())
    return web.Response(status=response.status, headers=headers, body=response.body)
