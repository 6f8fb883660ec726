"""
Client for the load reports of model engines and plain services.

``GET /load`` returns a `LoadReport`.  An endpoint without load reports responds
with status 404.
"""

import aiohttp
from expression import Error, Ok, Result

from lentilhaven.core.answer_body import read_answer_json
from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.tables.endpoint_spec import EndpointSpec

#: Timeout of reading one report, in seconds.
LOAD_TIMEOUT = 0.5

#: Maximum size of a report, in bytes.
MAX_REPORT_BYTES = 65_536

#: Headers that aiohttp adds by default and endpoints do not use.
SKIPPED_HEADERS = ("User-Agent", "Accept-Encoding")

#: Exceptions of a request that gets no usable response.
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


async def read_load(
    session: aiohttp.ClientSession, endpoint: EndpointSpec
) -> Result[LoadReport | None, Failure]:
    """
    Read an endpoint's load report; the result is None if it has no load reports.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the request.
    endpoint : EndpointSpec
        Endpoint to ask.
    """
    limit = aiohttp.ClientTimeout(total=LOAD_TIMEOUT)
    try:
        async with session.get(
            f"{endpoint.url}/load", timeout=limit, skip_auto_headers=SKIPPED_HEADERS
        ) as response:
            if response.status == 404:
                return Ok(None)
            response.raise_for_status()
            body = await read_answer_json(response, MAX_REPORT_BYTES)
    except REQUEST_ERRORS as error:
        detail = f"{type(error).__name__}: {error}"
        return Error(Failure(Step.CONNECT, endpoint.id, "endpoint-lost", detail))
    return structure_document(body, LoadReport)
