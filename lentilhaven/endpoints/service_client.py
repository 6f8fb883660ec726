"""Client of plain services."""

import base64

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.answer_body import read_answer_body, read_answer_json
from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.tables.endpoint_spec import EndpointSpec

#: Timeout of connecting to an endpoint, in seconds.
CONNECT_TIMEOUT = 0.5

#: Timeout of reading the status of an idempotency key, in seconds.
STATUS_TIMEOUT = 1.0

#: Maximum size of a response body, in bytes.
MAX_RESPONSE_BYTES = 16_000_000

#: Maximum size of the status of an idempotency key, which holds a response in base 64,
#: in bytes.
MAX_STATUS_BYTES = 2 * MAX_RESPONSE_BYTES

#: Exceptions of a request that gets no usable response.
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

#: Exceptions raised before any byte of the request is sent.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@attrs.frozen
class ServiceCall:
    """
    A request to a plain service.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path relative to the endpoint's base URL, with its query.
    headers : dict
        End-to-end headers.
    body : bytes
        Request body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class ServiceResponse:
    """
    A plain service's response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : dict
        Headers of the response.
    body : bytes
        Response body.
    """

    status: int
    headers: dict[str, str]
    body: bytes


async def call_service(
    session: aiohttp.ClientSession,
    endpoint: EndpointSpec,
    call: ServiceCall,
    timeout: float,
) -> Result[ServiceResponse, Failure]:
    """
    Send a call at most once, without retries.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the request.
    endpoint : EndpointSpec
        Endpoint to call.
    call : ServiceCall
        Request to send.
    timeout : float
        Timeout of the whole exchange, in seconds.

    Returns
    -------
    Result
        The response, or a failure.  The failure's `ran` is NO only if no
        connection was established, and YES if a response had begun.
    """
    limit = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT)
    ran = Ran.UNKNOWN
    try:
        async with session.request(
            call.method,
            endpoint.url + call.path,
            data=call.body,
            headers=call.headers,
            timeout=limit,
            allow_redirects=False,
        ) as response:
            ran = Ran.YES
            body = await read_answer_body(response, MAX_RESPONSE_BYTES)
            return Ok(ServiceResponse(response.status, dict(response.headers), body))
    except CONNECT_ERRORS as error:
        return Error(service_lost_failure(endpoint, error, Ran.NO))
    except REQUEST_ERRORS as error:
        return Error(service_lost_failure(endpoint, error, ran))


def service_lost_failure(
    endpoint: EndpointSpec, error: BaseException, ran: Ran
) -> Failure:
    """
    Return the failure of a call that got no complete response.

    The failure asks the caller to retry after 1 s only if the call has not run.  Its
    kind is ``"service-lost"`` if the connection was refused or broken,
    ``"service-silent"`` if no answer came in time, and ``"bad-answer"`` if it can't be
    used.
    """
    detail = f"{type(error).__name__}: {error}"
    retry_after = 1.0 if ran is Ran.NO else None
    kind = "service-lost"
    if isinstance(error, TimeoutError):
        kind = "service-silent"
    elif isinstance(error, ValueError):
        kind = "bad-answer"
    return Failure(Step.SEND, endpoint.id, kind, detail, ran, retry_after)


async def read_key_status(
    session: aiohttp.ClientSession, endpoint: EndpointSpec, key: str
) -> ServiceResponse | None:
    """
    Ask an endpoint for the outcome of the call with an idempotency key.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the request.
    endpoint : EndpointSpec
        Endpoint to ask.
    key : str
        Idempotency key as sent to the endpoint.

    Returns
    -------
    ServiceResponse or None
        The response to the call, if the endpoint has executed it.  None does not
        prove that it was not executed: the call may still be running.
    """
    limit = aiohttp.ClientTimeout(total=STATUS_TIMEOUT, sock_connect=CONNECT_TIMEOUT)
    try:
        async with session.get(
            f"{endpoint.url}/idempotency-keys/{key}", timeout=limit
        ) as response:
            if response.status != 200:
                return None
            document = await read_answer_json(response, MAX_STATUS_BYTES)
            if document["state"] != "done":
                return None
            headers = {"Content-Type": str(document["content_type"])}
            body = base64.b64decode(document["body"])
            return ServiceResponse(int(document["status"]), headers, body)
    except (*REQUEST_ERRORS, KeyError, TypeError, OverflowError):
        return None
