"""
The client of model engines.

The wire: ``POST /streams`` with a `StreamOrder` answers one JSON object a line,
each a piece or a stage loss; ``GET /streams/ID/pieces`` reads a running stream
from a position; ``GET /streams/ID`` tells how far a stage has come;
``DELETE /streams/ID`` cancels; ``GET /load`` reports load.
"""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import RequestId
from lentilhaven.core.ran import Ran
from lentilhaven.core.settings import CONVERTER, to_document
from lentilhaven.core.step import Step
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.endpoints.piece import Piece
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.stage_loss import StageLoss
from lentilhaven.endpoints.stream_order import StreamOrder

#: Seconds for a probe, a cancellation or a load report.
PROBE_TIMEOUT = 0.1

#: Seconds for opening a connection to an engine.
CONNECT_TIMEOUT = 0.2

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

StreamEvent = Piece | StageLoss


@attrs.define
class EngineClient:
    """
    Opens, resumes, probes and cancels streams at engines.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Connections; owned by the caller.
    """

    session: aiohttp.ClientSession

    @asynccontextmanager
    async def open_stream(
        self, order: StreamOrder
    ) -> AsyncIterator[AsyncIterator[StreamEvent]]:
        """
        Start a stream at the head of its chain and yield its events.

        Parameters
        ----------
        order : StreamOrder
            What to generate.

        Raises
        ------
        FailureError
            If the head can't be reached, refuses, or breaks the connection.
        """
        head = order.chain[0]
        limit = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT)
        try:
            async with self.session.post(
                f"{head.url}/streams", json=to_document(order), timeout=limit
            ) as response:
                await raise_for_refusal(head, response)
                yield read_events(head, response)
        except LOST as error:
            raise lost_engine(Step.CONNECT, head, error) from error

    @asynccontextmanager
    async def resume_stream(
        self, head: Stage, request: RequestId, position: int
    ) -> AsyncIterator[AsyncIterator[StreamEvent]]:
        """
        Read a running stream again from a position.

        Parameters
        ----------
        head : Stage
            Head of the stream's chain.
        request : str
            The request.
        position : int
            First position to read.

        Raises
        ------
        FailureError
            If the head can't be reached or no longer has the stream.
        """
        limit = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT)
        url = f"{head.url}/streams/{request}/pieces"
        query = {"position": str(position)}
        try:
            async with self.session.get(url, params=query, timeout=limit) as response:
                await raise_for_refusal(head, response)
                yield read_events(head, response)
        except LOST as error:
            raise lost_engine(Step.RESUME, head, error) from error

    async def read_order(
        self, head: Stage, request: RequestId
    ) -> Result[StreamOrder, Failure]:
        """
        Read the order of a running stream, with all tokens made so far.

        Parameters
        ----------
        head : Stage
            Head of the stream's chain.
        request : str
            The request.
        """
        limit = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
        url = f"{head.url}/streams/{request}"
        try:
            async with self.session.get(url, timeout=limit) as response:
                response.raise_for_status()
                body = await response.json()
                return Ok(CONVERTER.structure(body["order"], StreamOrder))
        except LOST as error:
            return Error(lost_engine(Step.RESUME, head, error).failure)

    async def probe(self, stage: Stage, request: RequestId) -> bool:
        """
        Return whether a stage answers on a new connection.

        Parameters
        ----------
        stage : Stage
            The stage to ask.
        request : str
            The request that is stuck.
        """
        limit = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
        headers = {"Connection": "close"}
        url = f"{stage.url}/streams/{request}"
        try:
            async with self.session.get(url, timeout=limit, headers=headers):
                return True
        except LOST:
            return False

    async def cancel(self, stage: Stage, request: RequestId) -> None:
        """
        Tell a stage to drop a stream; a stage that can't be told times out.

        Parameters
        ----------
        stage : Stage
            The stage to tell.
        request : str
            The request to drop.
        """
        limit = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
        url = f"{stage.url}/streams/{request}"
        try:
            async with self.session.delete(url, timeout=limit):
                return
        except LOST:
            return

    async def read_load(self, stage: Stage) -> Result[LoadReport, Failure]:
        """
        Read an engine's load report.

        Parameters
        ----------
        stage : Stage
            The engine.
        """
        limit = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
        try:
            async with self.session.get(f"{stage.url}/load", timeout=limit) as response:
                response.raise_for_status()
                return Ok(CONVERTER.structure(await response.json(), LoadReport))
        except LOST as error:
            return Error(lost_engine(Step.CONNECT, stage, error).failure)


async def read_events(
    head: Stage, response: aiohttp.ClientResponse
) -> AsyncIterator[StreamEvent]:
    """
    Yield the events of a response, one a line.

    Parameters
    ----------
    head : Stage
        Where the response comes from.
    response : aiohttp.ClientResponse
        The open response.

    Raises
    ------
    FailureError
        If a line is not an event.
    """
    async for line in response.content:
        try:
            yield parse_event(json.loads(line))
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"
            failure = Failure(
                Step.VERIFY, head.endpoint, "bad-event", detail, Ran.UNKNOWN
            )
            raise FailureError(failure) from error


def parse_event(document: dict) -> StreamEvent:
    """
    Return the event that a JSON object stands for.

    Examples
    --------
    >>> parse_event({"lost": {"endpoint": "e2", "detail": "refused"}})
    StageLoss(endpoint='e2', detail='refused')
    """
    if "lost" in document:
        return CONVERTER.structure(document["lost"], StageLoss)
    return CONVERTER.structure(document["piece"], Piece)


async def raise_for_refusal(head: Stage, response: aiohttp.ClientResponse) -> None:
    """
    Raise `FailureError` if an engine refused a stream.

    Parameters
    ----------
    head : Stage
        The engine.
    response : aiohttp.ClientResponse
        Its response.
    """
    if response.status == 200:
        return
    detail = f"status {response.status}: {(await response.text())[:200]}"
    raise FailureError(Failure(Step.SEND, head.endpoint, "engine-refused", detail))


def lost_engine(step: Step, stage: Stage, error: BaseException) -> FailureError:
    """
    Return the failure of an engine that can't be reached or went away.

    Parameters
    ----------
    step : Step
        What was being done.
    stage : Stage
        The engine.
    error : BaseException
        What the HTTP client raised.
    """
    refused = isinstance(error, aiohttp.ClientConnectorError)
    ran = Ran.NO if refused else Ran.UNKNOWN
    detail = f"{type(error).__name__}: {error}"
    return FailureError(Failure(step, stage.endpoint, "engine-lost", detail, ran))
