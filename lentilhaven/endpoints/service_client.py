"""The client of plain services."""

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.tables.endpoint_spec import EndpointSpec

#: Seconds for opening a connection.
CONNECT_TIMEOUT = 0.5

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


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
        was made.
    """
    limit = aiohttp.ClientTimeout(total=timeout, sock_connect=CONNECT_TIMEOUT)
    try:
        async with session.request(
            call.method,
            endpoint.url + call.path,
            data=call.body,
            headers=call.headers,
            timeout=limit,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            return Ok(ServiceResponse(response.status, dict(response.headers), body))
    except LOST as error:
        refused = isinstance(error, aiohttp.ClientConnectorError)
        ran = Ran.NO if refused else Ran.UNKNOWN
        detail = f"{type(error).__name__}: {error}"
        return Error(Failure(Step.SEND, endpoint.id, "service-lost", detail, ran))
