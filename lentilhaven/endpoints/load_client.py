"""
Reading of load reports from endpoints of either kind.

The wire: ``GET /load`` answers a `LoadReport`.  An endpoint without load
reports answers 404.
"""

import aiohttp
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.tables.endpoint_spec import EndpointSpec

#: Seconds for one report.
LOAD_TIMEOUT = 0.5

#: Headers that aiohttp would add and endpoints have no use for.
SKIPPED_HEADERS = ("User-Agent", "Accept-Encoding")

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


async def read_load(
    session: aiohttp.ClientSession, endpoint: EndpointSpec
) -> Result[LoadReport | None, Failure]:
    """
    Read an endpoint's report; None from an endpoint that makes no reports.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    endpoint : EndpointSpec
        The endpoint.
    """
    limit = aiohttp.ClientTimeout(total=LOAD_TIMEOUT)
    try:
        async with session.get(
            f"{endpoint.url}/load", timeout=limit, skip_auto_headers=SKIPPED_HEADERS
        ) as response:
            if response.status == 404:
                return Ok(None)
            response.raise_for_status()
            body = await response.json()
    except LOST as error:
        detail = f"{type(error).__name__}: {error}"
        return Error(Failure(Step.CONNECT, endpoint.id, "endpoint-lost", detail))
    return structure_document(body, LoadReport)
