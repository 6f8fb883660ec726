"""What the platform's HTTP responses stand for."""

from typing import Any, TypeVar

import aiohttp
import attrs
from expression import Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step

T = TypeVar("T")

#: The platform, as failures name it.
PEER = "object-api"

#: What a call raises whose answer is lost.
LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


def parse_body(step: Step, body: Any, kind: type[T]) -> Result[T, Failure]:
    """
    Return the instance of `kind` that a response's body holds.

    Parameters
    ----------
    step : Step
        What was being done.
    body : Any
        Parsed JSON.
    kind : type
        An attrs class.
    """
    parsed = structure_document(body, kind)
    return parsed.map_error(lambda it: attrs.evolve(it, step=step, peer=PEER))


async def read_body(response: aiohttp.ClientResponse) -> Any:
    """
    Return the JSON body of a successful response.

    Raises
    ------
    aiohttp.ClientResponseError
        If the status is an error.
    ValueError
        If the body is not JSON.
    """
    response.raise_for_status()
    return await response.json()


def refusal_of(response: aiohttp.ClientResponse) -> Failure:
    """Return the failure that a 413 or 429 response stands for."""
    kind = "too-large" if response.status == 413 else "rate-limited"
    detail = f"status {response.status}"
    return Failure(Step.WRITE_OBJECT, PEER, kind, detail, retry_after=1.0)


def failure_of(step: Step, error: BaseException) -> Failure:
    """Return the failure that a lost call stands for."""
    detail = f"{type(error).__name__}: {error}"
    refused = isinstance(error, aiohttp.ClientResponseError) and error.status == 429
    kind = "rate-limited" if refused else "store-unavailable"
    return Failure(step, PEER, kind, detail, retry_after=1.0)
