"""The client of plain services."""

import base64

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.tables.endpoint_spec import EndpointSpec

#: Seconds for opening a connection.
CONNECT_TIMEOUT = 0.5

#: Seconds for asking an endpoint what became of a key.
STATUS_TIMEOUT = 1.0

#: Largest response that is relayed, in bytes.
MAX_RESPONSE_BYTES = 16_000_000

#: Bytes read at a time.
CHUNK_BYTES = 65_536

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

#: Errors that arise before any byte of the request was sent.
UNSENT = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


@attrs.frozen
class ServiceCall:
    """
    A call to a plain service.

    Attributes
    ----------
    method : str
        HTTP method.
    path : str
        Path below the endpoint's base URL, with its query.
    headers : dict
        End-to-end headers.
    body : bytes
        The body.
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
        HTTP status.
    headers : dict
        End-to-end headers.
    body : bytes
        The body.
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
    Send one call, once.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    endpoint : EndpointSpec
        Where to send it.
    call : ServiceCall
        What to send.
    timeout : float
        Seconds for the whole exchange.

    Returns
    -------
    Result
        The response, or a failure whose `ran` is NO only when no connection
        was made, and YES when a response began.
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
            middlewares=[send_once()],
        ) as response:
            ran = Ran.YES
            body = await read_limited(response)
            return Ok(ServiceResponse(response.status, dict(response.headers), body))
    except UNSENT as error:
        return Error(lost_call(endpoint, error, Ran.NO))
    except LOST as error:
        return Error(lost_call(endpoint, error, ran))


def send_once() -> aiohttp.ClientMiddlewareType:
    """
    Return a middleware that lets a request out once.

    The HTTP library repeats a request whose method it takes for idempotent when
    a connection was lost; what is idempotent here, the route says.
    """
    sent = False

    async def middleware(
        request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        nonlocal sent
        if sent:
            raise aiohttp.ServerDisconnectedError("the connection was lost")
        sent = True
        return await handler(request)

    return middleware


async def read_limited(response: aiohttp.ClientResponse) -> bytes:
    """
    Return a response's body.

    Raises
    ------
    ValueError
        If it is too large.
    """
    body = bytearray()
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise ValueError(f"response is larger than {MAX_RESPONSE_BYTES} bytes")
    return bytes(body)


def lost_call(endpoint: EndpointSpec, error: BaseException, ran: Ran) -> Failure:
    """Return the failure of a call that got no whole response."""
    detail = f"{type(error).__name__}: {error}"
    retry_after = 1.0 if ran is Ran.NO else None
    return Failure(Step.SEND, endpoint.id, "service-lost", detail, ran, retry_after)


async def ask_status(
    session: aiohttp.ClientSession, endpoint: EndpointSpec, key: str
) -> ServiceResponse | None:
    """
    Ask an endpoint what became of an idempotency key.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    endpoint : EndpointSpec
        Whom to ask.
    key : str
        The key, as it was sent to the endpoint.

    Returns
    -------
    ServiceResponse or None
        The response that the call had, if the endpoint ran it.  None proves
        nothing: the call may be under way.
    """
    limit = aiohttp.ClientTimeout(total=STATUS_TIMEOUT, sock_connect=CONNECT_TIMEOUT)
    try:
        async with session.get(
            f"{endpoint.url}/idempotency-keys/{key}", timeout=limit
        ) as response:
            if response.status != 200:
                return None
            document = await response.json()
            if document["state"] != "done":
                return None
            headers = {"Content-Type": str(document["content_type"])}
            body = base64.b64decode(document["body"])
            return ServiceResponse(int(document["status"]), headers, body)
    except (*LOST, KeyError, TypeError):
        return None
