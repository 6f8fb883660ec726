"""
The client of model engines.

The wire: ``POST /streams`` with a `StreamOrder` answers one JSON object a line,
each a piece or a stage loss; ``GET /streams/ID/pieces`` reads a running stream
from a position; ``GET /streams/ID`` tells how far a stage has come;
``DELETE /streams/ID`` cancels; ``GET /load`` reports load.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.converter import CONVERTER, to_document
from lentilhaven.core.failure import Failure, FailureError
from lentilhaven.core.ids import RequestId
from lentilhaven.core.ran import Ran
from lentilhaven.core.step import Step
from lentilhaven.endpoints.load_report import LoadReport
from lentilhaven.endpoints.stage import Stage
from lentilhaven.endpoints.stage_progress import StageProgress
from lentilhaven.endpoints.stream_feed import StreamFeed, open_feed
from lentilhaven.endpoints.stream_order import StreamOrder

#: Seconds for a probe, a cancellation or a load report.
PROBE_TIMEOUT = 0.1

#: Seconds for reading the order of a stream that is resumed.
ORDER_TIMEOUT = 1.0

#: Seconds for opening a connection to an engine.
CONNECT_TIMEOUT = 0.2

#: Bytes of a stream that are read ahead of the caller; reading stops at twice it.
STREAM_BUFFER = 16_384

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

Response = aiohttp.ClientResponse


@attrs.define
class EngineClient:
    """
    Opens, resumes, probes and cancels streams at engines.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Pooled connections; owned by the caller.
    fresh : aiohttp.ClientSession or None
        Opens a new connection for each request, since a pooled one may have
        gone silent for good; None uses `session`.
    """

    session: aiohttp.ClientSession
    fresh: aiohttp.ClientSession | None = None

    def pick_session(self, fresh: bool) -> aiohttp.ClientSession:
        """Return the session for new or for pooled connections."""
        return self.fresh if fresh and self.fresh is not None else self.session

    def start_stream(
        self, order: StreamOrder, fresh: bool = False
    ) -> AbstractAsyncContextManager[StreamFeed]:
        """
        Start a stream at the head of its chain and read it.

        Parameters
        ----------
        order : StreamOrder
            What to generate.
        fresh : bool
            Whether to use a new connection.
        """
        head = order.chain[0]
        limit = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT)
        opening = self.pick_session(fresh).post(
            f"{head.url}/streams",
            json=to_document(order),
            timeout=limit,
            read_bufsize=STREAM_BUFFER,
        )
        return open_feed(head, checked_response(Step.CONNECT, head, opening))

    def resume_stream(
        self, head: Stage, request: RequestId, position: int
    ) -> AbstractAsyncContextManager[StreamFeed]:
        """
        Read a running stream from a position, on a new connection.

        Parameters
        ----------
        head : Stage
            Head of the stream's chain.
        request : str
            The request.
        position : int
            First position to read.
        """
        limit = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT)
        opening = self.pick_session(fresh=True).get(
            f"{head.url}/streams/{request}/pieces",
            params={"position": str(position)},
            timeout=limit,
            read_bufsize=STREAM_BUFFER,
        )
        return open_feed(head, checked_response(Step.RESUME, head, opening))

    async def read_order(
        self, head: Stage, request: RequestId
    ) -> Result[StreamOrder, Failure]:
        """
        Read the order of a running stream, with the time that is left.

        Parameters
        ----------
        head : Stage
            Head of the stream's chain.
        request : str
            The request.
        """
        limit = aiohttp.ClientTimeout(total=ORDER_TIMEOUT)
        url = f"{head.url}/streams/{request}"
        session = self.pick_session(fresh=True)
        try:
            async with session.get(url, timeout=limit) as response:
                response.raise_for_status()
                body = await response.json()
                return Ok(CONVERTER.structure(body["order"], StreamOrder))
        except Exception as error:  # Every structuring hook raises its own kind.
            return Error(lost_engine(Step.RESUME, head, error).failure)

    async def probe(
        self, stage: Stage, request: RequestId, timeout: float = PROBE_TIMEOUT
    ) -> StageProgress | None:
        """
        Ask a stage on a new connection how far it has come.

        Parameters
        ----------
        stage : Stage
            The stage to ask.
        request : str
            The request that is stuck.
        timeout : float
            Seconds to wait.

        Returns
        -------
        StageProgress or None
            None if the stage does not answer.
        """
        limit = aiohttp.ClientTimeout(total=timeout)
        url = f"{stage.url}/streams/{request}/progress"
        session = self.pick_session(fresh=True)
        try:
            async with session.get(url, timeout=limit) as response:
                if response.status != 200:
                    return StageProgress(known=False)
                return CONVERTER.structure(await response.json(), StageProgress)
        except Exception:  # Every structuring hook raises its own kind.
            return None

    async def cancel(
        self,
        stage: Stage,
        request: RequestId,
        attempt: int,
        unread_only: bool = False,
    ) -> bool:
        """
        Tell a stage to drop a stream; a stage that can't be told times out.

        Parameters
        ----------
        stage : Stage
            The stage to tell.
        request : str
            The request to drop.
        attempt : int
            Newest attempt to drop; a newer one belongs to another router.
        unread_only : bool
            Whether to leave a stream that somebody reads.

        Returns
        -------
        bool
            Whether the stage is known not to hold the stream any more.
        """
        limit = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
        url = f"{stage.url}/streams/{request}"
        query = {"attempt": str(attempt), "unread_only": str(int(unread_only))}
        session = self.pick_session(fresh=True)
        try:
            async with session.delete(url, params=query, timeout=limit) as response:
                return bool((await response.json())["gone"])
        except (*LOST, KeyError, TypeError):
            return False

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


@asynccontextmanager
async def checked_response(
    step: Step, head: Stage, opening: AbstractAsyncContextManager[Response]
) -> AsyncIterator[Response]:
    """
    Open a response and turn everything that goes wrong into `FailureError`.

    Parameters
    ----------
    step : Step
        What is being done.
    head : Stage
        The engine.
    opening : context manager
        Opens the response.
    """
    try:
        async with opening as response:
            await raise_for_refusal(head, response)
            yield response
    except LOST as error:
        raise lost_engine(step, head, error) from error


async def raise_for_refusal(head: Stage, response: Response) -> None:
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
    # Another router has taken the answer over with a higher attempt.
    kind = "superseded" if response.status == 410 else "engine-refused"
    raise FailureError(Failure(Step.SEND, head.endpoint, kind, detail))


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
