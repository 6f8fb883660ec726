"""Conversion of the object API's HTTP responses to values and failures."""

from typing import Any, TypeVar

import aiohttp
import attrs
from expression import Result

from lentilhaven.core.answer_body import read_answer_json
from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step

T = TypeVar("T")

#: Name of the object API in failures.
PEER = "object-api"

#: Maximum size of an answer, in bytes: a listing of all objects with one prefix.
MAX_ANSWER_BYTES = 64_000_000

#: Exceptions of a call that returns no valid response.
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


def parse_body(step: Step, body: Any, kind: type[T]) -> Result[T, Failure]:
    """
    Build an instance of `kind` from the body of a response.

    Parameters
    ----------
    step : Step
        Step that a failure names.
    body : Any
        Parsed JSON.
    kind : type
        An attrs class.
    """
    parsed = structure_document(body, kind)
    return parsed.map_error(lambda failure: attrs.evolve(failure, step=step, peer=PEER))


async def read_body(response: aiohttp.ClientResponse) -> Any:
    """
    Return the JSON body of a successful response.

    Raises
    ------
    aiohttp.ClientResponseError
        If the status is 400 or higher.
    ValueError
        If the body is not JSON, or larger than `MAX_ANSWER_BYTES`.
    """
    response.raise_for_status()
    return await read_answer_json(response, MAX_ANSWER_BYTES)


def failure_from_response(response: aiohttp.ClientResponse) -> Failure:
    """Return the failure for a write with status 413 or 429."""
    kind = "too-large" if response.status == 413 else "rate-limited"
    detail = f"status {response.status}"
    return Failure(Step.WRITE_OBJECT, PEER, kind, detail, retry_after=1.0)


def failure_from_error(step: Step, error: BaseException) -> Failure:
    """Return the failure for an exception of a call."""
    detail = f"{type(error).__name__}: {error}"
    limited = isinstance(error, aiohttp.ClientResponseError) and error.status == 429
    kind = "rate-limited" if limited else "store-unavailable"
    return Failure(step, PEER, kind, detail, retry_after=1.0)
