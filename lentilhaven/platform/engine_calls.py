"""Calls on engines: their state, and orders."""

import enum
from collections.abc import Sequence
from typing import Any

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.fleet.layer_span import LayerSpan
from lentilhaven.platform import headers
from lentilhaven.platform.replica_format import decode_layers
from lentilhaven.platform.request_head import Part, encode_path
from lentilhaven.platform.store_client import LOST


@attrs.frozen
class EngineReport:
    """
    What an engine says of itself; some hundred ms old.

    Attributes
    ----------
    born : int
        Unix time of its start, in ms.
    busy : bool
        Whether it carries out an order.
    orders : int
        Orders accepted since its start.
    layers : LayerSpan or None
        Layers that it holds.
    pace : float
        How many times as long as usual its work takes.
    running, waiting : int
        Requests.
    state_used, state_total : float
        Memory of requests, in tokens times layers.
    stalled : tuple of (str, str)
        Requests that wait for another part of their chain, each with the
        address of that part.
    """

    born: int = 0
    busy: bool = False
    orders: int = 0
    layers: LayerSpan | None = None
    pace: float = 1.0
    running: int = 0
    waiting: int = 0
    state_used: float = 0.0
    state_total: float = 0.0
    stalled: tuple[tuple[str, str], ...] = ()


class OrderOutcome(enum.Enum):
    """What became of an order."""

    BEGUN = "begun"
    HOLDS = "holds"
    MISFIT = "misfit"
    FENCED = "fenced"
    OTHER_REPLICA = "other-replica"
    MISSING = "missing"
    REFUSED = "refused"
    UNKNOWN = "unknown"


OUTCOMES = {
    202: OrderOutcome.BEGUN,
    200: OrderOutcome.HOLDS,
    409: OrderOutcome.MISFIT,
    412: OrderOutcome.FENCED,
    421: OrderOutcome.OTHER_REPLICA,
    404: OrderOutcome.MISSING,
}


async def fetch_report(
    session: aiohttp.ClientSession, endpoint: Endpoint, timeout: float
) -> Result[EngineReport, Failure]:
    """
    Ask an engine for its state.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    endpoint : Endpoint
        The engine.
    timeout : float
        Seconds to wait.
    """
    url = f"http://{endpoint.address}/report"
    limit = aiohttp.ClientTimeout(total=timeout)
    own = {headers.EXPECT_REPLICA: endpoint.id}
    try:
        async with session.get(url, headers=own, timeout=limit) as response:
            if response.status != 200:
                detail = f"status {response.status}"
                return Error(Failure(Step.ORDER, endpoint.id, "report", detail))
            return Ok(decode_report(await response.json()))
    except (*LOST, TypeError) as error:
        detail = f"{type(error).__name__}: {error}"
        return Error(Failure(Step.ORDER, endpoint.id, "report", detail))


def decode_report(value: dict[str, Any]) -> EngineReport:
    """
    Decode a report.

    Raises
    ------
    TypeError, ValueError
        If it is not one.
    """
    if not isinstance(value, dict):
        raise TypeError(f"a report is an object, not {type(value).__name__}")
    return EngineReport(
        born=int(value.get("born") or 0),
        busy=bool(value.get("busy")),
        orders=int(value.get("sequence") or 0),
        layers=decode_layers(value)[1],
        pace=float(value.get("pace") or 1.0),
        running=int(value.get("active") or 0),
        waiting=int(value.get("queued") or 0),
        state_used=float(value.get("kv_used") or 0.0),
        state_total=float(value.get("kv_total") or 0.0),
        stalled=tuple(
            (str(item.get("id")), str(item.get("address")))
            for item in value.get("stalled") or ()
        ),
    )


async def order_layers(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
    layers: LayerSpan,
    fence: int,
    orders: int,
    timeout: float,
) -> OrderOutcome:
    """
    Order an engine to hold a range of layers.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Connections.
    endpoint : Endpoint
        The engine.
    layers : LayerSpan
        What it is to hold.
    fence : int
        Fencing number of whoever orders.
    orders : int
        Orders that it must have accepted so far.
    timeout : float
        Seconds to wait for its answer.
    """
    body = {
        "operation": "place",
        "from": layers.start,
        "target": layers.end,
        "handoff_mode": "queue",
        "fencing_token": fence,
        "precondition": orders,
    }
    return await post_order(session, endpoint, body, timeout)


async def order_path(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
    request_id: str,
    path: Sequence[Part],
    timeout: float,
) -> OrderOutcome:
    """Order the first engine of a chain to move a request to another chain."""
    body = {"operation": "repath", "id": request_id, "path": encode_path(path)}
    return await post_order(session, endpoint, body, timeout)


async def post_order(
    session: aiohttp.ClientSession,
    endpoint: Endpoint,
    body: dict[str, Any],
    timeout: float,
) -> OrderOutcome:
    """Send an order; what got no answer may still be carried out."""
    url = f"http://{endpoint.address}/order"
    limit = aiohttp.ClientTimeout(total=timeout)
    own = {headers.EXPECT_REPLICA: endpoint.id}
    try:
        async with session.post(url, json=body, headers=own, timeout=limit) as response:
            return OUTCOMES.get(response.status, OrderOutcome.REFUSED)
    except LOST:
        return OrderOutcome.UNKNOWN
