"""Calls to engines: status reports and orders."""

import enum
from collections.abc import Callable, Sequence
from typing import Any

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.answer_body import read_answer_json
from lentilhaven.core.failure import Failure
from lentilhaven.core.json_numbers import to_integer, to_number
from lentilhaven.core.step import Step
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.platform import headers
from lentilhaven.platform.replica_format import decode_layers
from lentilhaven.platform.request_head import ChainPart, encode_path
from lentilhaven.platform.response_head import ResponseHead, decode_response_head
from lentilhaven.platform.store_client import REQUEST_ERRORS

#: Maximum size of a status report, in bytes: one with a thousand stalled requests.
MAX_REPORT_BYTES = 131_072

#: Kind of the failure of a question to an engine on whose port nothing listens.
NO_LISTENER = "no-listener"

#: Takes an endpoint and the head of an answer that it has sent.
NoteHead = Callable[[Endpoint, ResponseHead], None]


@attrs.frozen
class EngineReport:
    """
    Status report of an engine; a few hundred milliseconds out of date.

    Attributes
    ----------
    born : int
        Unix time at which the engine started, in milliseconds.
    busy : bool
        Whether the engine is carrying out an order.
    accepted_orders : int
        Number of orders that the engine has accepted since its start.
    layers : LayerSpan or None
        Layers that the engine holds; None if it holds none.
    pace : float
        Time that the engine takes for a task, relative to the nominal time.
    running, waiting : int
        Number of requests that run and that are queued.
    kv_used, kv_capacity : float
        KV cache in use and in total, in tokens times layers.
    stalled_requests : tuple of (str, str)
        Ids of requests that wait for another part of their chain, each with the
        address of that part.
    """

    born: int = 0
    busy: bool = False
    accepted_orders: int = 0
    layers: LayerSpan | None = None
    pace: float = 1.0
    running: int = 0
    waiting: int = 0
    kv_used: float = 0.0
    kv_capacity: float = 0.0
    stalled_requests: tuple[tuple[str, str], ...] = ()


class OrderOutcome(enum.Enum):
    """
    Outcome of an order, defined by the status of the response.

    `REFUSED` is any status that `OUTCOME_BY_STATUS` does not list.  `UNKNOWN` means
    that there was no response, so that the order may still be carried out.
    """

    BEGUN = "begun"
    HOLDS = "holds"
    MISFIT = "misfit"
    FENCED = "fenced"
    OTHER_REPLICA = "other-replica"
    MISSING = "missing"
    REFUSED = "refused"
    UNKNOWN = "unknown"


OUTCOME_BY_STATUS = {
    202: OrderOutcome.BEGUN,
    200: OrderOutcome.HOLDS,
    409: OrderOutcome.MISFIT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_REPLICA,
    404: OrderOutcome.MISSING,
}


async def fetch_report(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
    timeout: float,
    note_head: NoteHead,
) -> Result[EngineReport, Failure]:
    """
    Request the status report of an engine.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the request.
    endpoint : Endpoint
        Engine to ask.
    timeout : float
        Timeout of the request, in seconds.
    note_head : callable
        Takes the engine and the head of its answer.

    Returns
    -------
    Result
        The report; or a failure of kind ``"report"`` if there is no valid one, or
        `NO_LISTENER` if nothing listens on the engine's port.
    """
    url = f"http://{endpoint.address}/report"
    limit = aiohttp.ClientTimeout(total=timeout)
    request_headers = {headers.EXPECT_REPLICA: endpoint.id}
    try:
        async with session.get(url, headers=request_headers, timeout=limit) as response:
            note_head(endpoint, read_head(response))
            if response.status != 200:
                detail = f"status {response.status}"
                return Error(Failure(Step.ORDER, endpoint.id, "report", detail))
            answer = await read_answer_json(response, MAX_REPORT_BYTES)
    except (*REQUEST_ERRORS, TypeError, OverflowError) as error:
        detail = f"{type(error).__name__}: {error}"
        cause = getattr(error, "os_error", None)
        is_refused = isinstance(cause, ConnectionRefusedError)
        kind = NO_LISTENER if is_refused else "report"
        return Error(Failure(Step.ORDER, endpoint.id, kind, detail))
    try:
        return Ok(decode_report(answer))
    except (TypeError, ValueError, AttributeError, OverflowError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Error(Failure(Step.ORDER, endpoint.id, "report", detail))


def decode_report(value: dict[str, Any]) -> EngineReport:
    """
    Decode a status report.

    Raises
    ------
    TypeError, ValueError, OverflowError
        If the value is not a valid report, or a number in it is not finite.
    """
    if not isinstance(value, dict):
        raise TypeError(f"a report is an object, not {type(value).__name__}")
    return EngineReport(
        born=to_integer(value.get("born") or 0),
        busy=bool(value.get("busy")),
        accepted_orders=to_integer(value.get("sequence") or 0),
        layers=decode_layers(value)[1],
        pace=to_number(value.get("pace") or 1.0),
        running=to_integer(value.get("active") or 0),
        waiting=to_integer(value.get("queued") or 0),
        kv_used=to_number(value.get("kv_used") or 0.0),
        kv_capacity=to_number(value.get("kv_total") or 0.0),
        stalled_requests=tuple(
            decode_stalled(item) for item in value.get("stalled") or ()
        ),
    )


def decode_stalled(value: Any) -> tuple[str, str]:
    """
    Decode the id of a stalled request, and the address that it waits for.

    Raises
    ------
    TypeError
        If the value is no object.
    """
    if not isinstance(value, dict):
        raise TypeError(f"a stalled request is an object, not {type(value).__name__}")
    return str(value.get("id")), str(value.get("address"))


async def order_layers(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
    layers: LayerSpan,
    fence: int,
    orders: int,
    timeout: float,
    note_head: NoteHead,
) -> OrderOutcome:
    """
    Order an engine to hold a range of layers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that sends the order.
    endpoint : Endpoint
        Engine that receives the order.
    layers : LayerSpan
        Layers to hold.
    fence : int
        Fencing token of the sender; the engine refuses an outdated one if it checks
        tokens.
    orders : int
        Number of orders that the engine must have accepted since its start, as in
        its last report; it refuses if the number differs.
    timeout : float
        Timeout of the request, in seconds.
    note_head : callable
        Takes the engine and the head of its answer.
    """
    body = {
        "operation": "place",
        "from": layers.start,
        "target": layers.end,
        "handoff_mode": "queue",
        "fencing_token": fence,
        "precondition": orders,
    }
    return await post_order(session, endpoint, body, timeout, note_head)


async def order_path(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
    request_id: str,
    path: Sequence[ChainPart],
    timeout: float,
    note_head: NoteHead,
) -> OrderOutcome:
    """
    Order an engine to move a request to the chain `path`.

    The engine is the first of the request's current chain.
    """
    body = {"operation": "repath", "id": request_id, "path": encode_path(path)}
    return await post_order(session, endpoint, body, timeout, note_head)


async def post_order(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
    body: dict[str, Any],
    timeout: float,
    note_head: NoteHead,
) -> OrderOutcome:
    """Send an order and return its outcome; raise no error if there is no response."""
    url = f"http://{endpoint.address}/order"
    limit = aiohttp.ClientTimeout(total=timeout)
    request_headers = {headers.EXPECT_REPLICA: endpoint.id}
    try:
        async with session.post(
            url, json=body, headers=request_headers, timeout=limit
        ) as response:
            note_head(endpoint, read_head(response))
            return OUTCOME_BY_STATUS.get(response.status, OrderOutcome.REFUSED)
    except REQUEST_ERRORS:
        return OrderOutcome.UNKNOWN


def read_head(response: aiohttp.ClientResponse) -> ResponseHead:
    """Return the decoded head of an answer."""
    return decode_response_head(response.status, list(response.headers.items()))
