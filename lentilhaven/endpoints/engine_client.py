"""
Client of model engines.

The requests of the protocol are:

``POST /streams``
    Starts the stream of a `StreamOrder`.  The response has one JSON object per
    line, each a piece or a stage loss.
``GET /streams/ID/pieces``
    Reads a running stream from a position.
``GET /streams/ID``
    Returns the order of a running stream.
``GET /streams/ID/progress``
    Returns the progress of a stage.
``DELETE /streams/ID``
    Cancels a stream.
``GET /load``
    Returns a load report.
"""

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.answer_body import read_answer_body, read_answer_json
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

#: Timeout of a probe, a cancellation or a load report, in seconds.
PROBE_TIMEOUT = 0.1

#: Timeout of reading the order of a stream that is resumed, in seconds.
ORDER_TIMEOUT = 1.0

#: Timeout of connecting to an engine, in seconds.
CONNECT_TIMEOUT = 0.2

#: Bytes of a stream that are read ahead; reading pauses at twice this size.
STREAM_BUFFER_BYTES = 16_384

#: Maximum size of an answer that is no stream, and of the order of a stream, which
#: holds its prompt, in bytes.
MAX_ANSWER_BYTES = 65_536
MAX_ORDER_BYTES = 16_000_000

#: Kinds of failure of a probe: a stage that has accepted the connection and does not
#: respond, and a host that neither accepts nor refuses a connection.
SILENT_KIND = "engine-silent"
UNREACHED_KIND = "engine-unreached"

#: Exceptions of a request that gets no usable response.
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

Response = aiohttp.ClientResponse


@attrs.define
class EngineClient:
    """
    Opens, resumes, probes and cancels streams at engines.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Session with pooled connections; the caller closes it.
    unpooled_session : aiohttp.ClientSession or None
        Session that opens a new connection for each request, since a pooled
        connection may have stopped responding for good; None uses `session`.
    """

    session: aiohttp.ClientSession
    unpooled_session: aiohttp.ClientSession | None = None

    def pick_session(self, fresh: bool) -> aiohttp.ClientSession:
        """Return the session that uses new or pooled connections."""
        return (
            self.unpooled_session
            if fresh and self.unpooled_session is not None
            else self.session
        )

    def start_stream(
        self, order: StreamOrder, new_connection: bool = False
    ) -> AbstractAsyncContextManager[StreamFeed]:
        """
        Start a stream at the head of its chain and read it.

        Parameters
        ----------
        order : StreamOrder
            Order to send.
        new_connection : bool
            Whether to use a new connection.
        """
        head = order.chain[0]
        limit = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT)
        opening = self.pick_session(new_connection).post(
            f"{head.url}/streams",
            json=to_document(order),
            timeout=limit,
            read_bufsize=STREAM_BUFFER_BYTES,
        )
        return open_feed(head, checked_response(Step.CONNECT, head, opening))

    def resume_stream(
        self, head: Stage, request: RequestId, position: int
    ) -> AbstractAsyncContextManager[StreamFeed]:
        """
        Read a running stream from a position, over a new connection.

        Parameters
        ----------
        head : Stage
            Head of the stream's chain.
        request : str
            Id of the request.
        position : int
            Position of the first piece to read.
        """
        limit = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT)
        opening = self.pick_session(fresh=True).get(
            f"{head.url}/streams/{request}/pieces",
            params={"position": str(position)},
            timeout=limit,
            read_bufsize=STREAM_BUFFER_BYTES,
        )
        return open_feed(head, checked_response(Step.RESUME, head, opening))

    async def read_order(
        self, head: Stage, request: RequestId
    ) -> Result[StreamOrder, Failure]:
        """
        Read the order of a running stream, with the time left to its deadline.

        Parameters
        ----------
        head : Stage
            Head of the stream's chain.
        request : str
            Id of the request.
        """
        limit = aiohttp.ClientTimeout(total=ORDER_TIMEOUT)
        url = f"{head.url}/streams/{request}"
        session = self.pick_session(fresh=True)
        try:
            async with session.get(url, timeout=limit) as response:
                response.raise_for_status()
                body = await read_answer_json(response, MAX_ORDER_BYTES)
                return Ok(CONVERTER.structure(body["order"], StreamOrder))
        except Exception as error:  # Structuring hooks raise various types.
            return Error(engine_lost_error(Step.RESUME, head, error).failure)

    async def probe(
        self,
        stage: Stage,
        request: RequestId,
        timeout: float = PROBE_TIMEOUT,
        connect_timeout: float | None = None,
    ) -> Result[StageProgress, Failure]:
        """
        Read the progress of a stage, over a new connection.

        Parameters
        ----------
        stage : Stage
            Stage to probe.
        request : str
            Id of the request that is stalled.
        timeout : float
            Maximum time to wait, in seconds.
        connect_timeout : float or None
            Time after which a connection that is neither accepted nor refused shows
            that the stage is not reached, in seconds; None doesn't tell it from a
            stage that is silent.

        Returns
        -------
        Result
            The progress; a status other than 200 counts as a stage that does not know
            the request.  Otherwise a failure of kind `SILENT_KIND` if the stage has
            accepted the connection but does not respond, `UNREACHED_KIND` if the
            connection is neither accepted nor refused, and ``engine-lost`` if it is
            refused or lost or the response is invalid.
        """
        limit = aiohttp.ClientTimeout(total=timeout, sock_connect=connect_timeout)
        url = f"{stage.url}/streams/{request}/progress"
        session = self.pick_session(fresh=True)
        try:
            async with session.get(url, timeout=limit) as response:
                if response.status != 200:
                    return Ok(StageProgress(known=False))
                body = await read_answer_json(response, MAX_ANSWER_BYTES)
                return Ok(CONVERTER.structure(body, StageProgress))
        except Exception as error:  # Structuring hooks raise various types.
            return Error(probe_failure(stage, error))

    async def cancel(
        self,
        stage: Stage,
        request: RequestId,
        attempt: int,
        unread_only: bool = False,
    ) -> bool:
        """
        Cancel a stream at a stage.

        A stage that can't be reached ends the stream by its own timeout.

        Parameters
        ----------
        stage : Stage
            Stage that holds the stream.
        request : str
            Id of the request.
        attempt : int
            Number of the newest attempt to cancel; a newer attempt, which belongs to
            another router, goes on.
        unread_only : bool
            Whether to keep a stream that has a reader.

        Returns
        -------
        bool
            Whether the stage has confirmed that it no longer holds the stream.
        """
        limit = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
        url = f"{stage.url}/streams/{request}"
        query = {"attempt": str(attempt), "unread_only": str(int(unread_only))}
        session = self.pick_session(fresh=True)
        try:
            async with session.delete(url, params=query, timeout=limit) as response:
                return bool(
                    (await read_answer_json(response, MAX_ANSWER_BYTES))["gone"]
                )
        except (*REQUEST_ERRORS, KeyError, TypeError):
            return False

    async def read_load(self, stage: Stage) -> Result[LoadReport, Failure]:
        """
        Read an engine's load report.

        Parameters
        ----------
        stage : Stage
            Engine to ask.
        """
        limit = aiohttp.ClientTimeout(total=PROBE_TIMEOUT)
        try:
            async with self.session.get(f"{stage.url}/load", timeout=limit) as response:
                response.raise_for_status()
                body = await read_answer_json(response, MAX_ANSWER_BYTES)
                return Ok(CONVERTER.structure(body, LoadReport))
        except REQUEST_ERRORS as error:
            return Error(engine_lost_error(Step.CONNECT, stage, error).failure)


@asynccontextmanager
async def checked_response(
    step: Step, head: Stage, opening: AbstractAsyncContextManager[Response]
) -> AsyncIterator[Response]:
    """
    Open a response, and convert refusals and errors to `FailureError`.

    Parameters
    ----------
    step : Step
        Step that a failure names.
    head : Stage
        Engine that sends the response.
    opening : context manager
        Opens the response.
    """
    try:
        async with opening as response:
            await raise_for_refusal(head, response)
            yield response
    except REQUEST_ERRORS as error:
        raise engine_lost_error(step, head, error) from error


async def raise_for_refusal(head: Stage, response: Response) -> None:
    """
    Raise `FailureError` if an engine refused a stream.

    Parameters
    ----------
    head : Stage
        Engine that sent the response.
    response : aiohttp.ClientResponse
        Response whose status is checked.
    """
    if response.status == 200:
        return
    text = (await read_answer_body(response, MAX_ANSWER_BYTES)).decode(errors="replace")
    detail = f"status {response.status}: {text[:200]}"
    # 410 means that another router has taken over the answer with a higher attempt.
    kind = "superseded" if response.status == 410 else "engine-refused"
    raise FailureError(Failure(Step.SEND, head.endpoint, kind, detail))


def engine_lost_error(step: Step, stage: Stage, error: BaseException) -> FailureError:
    """
    Return the error for an engine that is unreachable or broke the connection.

    The failure's `ran` is NO only if no connection was established.

    Parameters
    ----------
    step : Step
        Step that failed.
    stage : Stage
        Engine that was contacted.
    error : BaseException
        Exception of the HTTP client.
    """
    refused = isinstance(error, aiohttp.ClientConnectorError)
    ran = Ran.NO if refused else Ran.UNKNOWN
    detail = f"{type(error).__name__}: {error}"
    return FailureError(Failure(step, stage.endpoint, "engine-lost", detail, ran))


def probe_failure(stage: Stage, error: BaseException) -> Failure:
    """
    Return the failure of a probe.

    Parameters
    ----------
    stage : Stage
        Engine that was probed.
    error : BaseException
        Exception of the HTTP client, or of the decoding of the response.
    """
    failure = engine_lost_error(Step.CONNECT, stage, error).failure
    if isinstance(error, aiohttp.ConnectionTimeoutError):
        return attrs.evolve(failure, kind=UNREACHED_KIND)
    if isinstance(error, TimeoutError):
        return attrs.evolve(failure, kind=SILENT_KIND)
    return failure
