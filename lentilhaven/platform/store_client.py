"""Client of the platform's store."""

import asyncio
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.answer_body import AnswerTooLargeError, read_answer_body
from lentilhaven.core.client_session import open_session
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.core.store_position import StorePosition
from lentilhaven.core.unreadable import Unreadable, UnreadableTexts
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.objects.write_outcome import (
    Ambiguous,
    Conflict,
    Refused,
    WriteOutcome,
    Written,
)
from lentilhaven.platform import headers
from lentilhaven.platform.store_page import (
    ObjectChange,
    decode_change,
    decode_revision,
    load_page,
)

#: TCP keep-alive options: the first probe is sent after one second without traffic
#: and others at intervals of one second.  The connection ends after two probes
#: without a response, or if sent bytes stay unacknowledged for 2 s.
TCP_OPTIONS = {
    socket.TCP_KEEPIDLE: 1,
    socket.TCP_KEEPINTVL: 1,
    socket.TCP_KEEPCNT: 2,
    socket.TCP_USER_TIMEOUT: 2000,
}

#: Name of the store in failures.
PEER = "store"

#: Maximum size of an answer, in bytes: a page of objects or changes.
MAX_ANSWER_BYTES = 8_000_000

#: Exceptions of a request that gets no usable response.
REQUEST_ERRORS = (aiohttp.ClientError, asyncio.TimeoutError, OSError, ValueError)

#: Errors by which an answer without the expected members shows.
MALFORMED = (KeyError, TypeError, ValueError, AttributeError)

#: Status codes with which the store guarantees that a write had no effect.
NO_EFFECT_STATUSES = (429, 503)


@attrs.frozen
class ObjectListing:
    """
    All objects of one kind, or those that have changed.

    Attributes
    ----------
    changes : list of ObjectChange
        The objects.
    position : StorePosition
        Position of the store from which a watch continues.
    unnamed : int
        Number of objects whose names can't be read.
    """

    changes: list[ObjectChange]
    position: StorePosition
    unnamed: int = 0


@attrs.define
class StoreClient:
    """
    Client for all store calls of a process.

    Attributes
    ----------
    base_url : str
        Base URL of the store.
    session : aiohttp.ClientSession
        Session that sends the requests.
    call_timeout : float
        Timeout of a call, in seconds.
    acquire_permit : callable
        Rate limiter: called before each call with the step; returns a failure if
        the call must not be made.
    note_era : callable
        Takes the era of the store that an answer names.
    unreadable : UnreadableTexts
        What could not be decoded in earlier answers.
    """

    base_url: str
    session: aiohttp.ClientSession
    call_timeout: float
    acquire_permit: Callable[[Step], Awaitable[Failure | None]]
    note_era: Callable[[int], None] = lambda era: None
    unreadable: UnreadableTexts = attrs.field(factory=UnreadableTexts)

    async def list_kind(self, kind: str) -> Result[ObjectListing, Failure]:
        """Read all objects of a kind, page by page."""
        found: list[ObjectChange] = []
        unnamed = 0
        query: dict[str, str] = {}
        first: StorePosition | None = None
        while True:
            answer = await self.get(Step.READ_OBJECT, kind, query, self.call_timeout)
            if answer.is_error():
                return Error(answer.error)
            page, era = answer.ok
            try:
                items = [
                    decode_change(item, False, era) for item in read_list(page, "items")
                ]
                revision = read_revision(page, "current_rev")
                has_more = page.get("has_more")
            except MALFORMED as error:
                return Error(malformed_failure(Step.READ_OBJECT, error))
            named = [item for item in items if item is not None]
            found += named
            unnamed += len(items) - len(named)
            # Later pages may contain later changes.  A watch from the first page's
            # position returns these again, which is harmless.
            first = first or StorePosition(era, revision)
            if era != first.era:
                return Error(restored_failure(Step.READ_OBJECT, first.era, era))
            if not has_more:
                return Ok(ObjectListing(found, first, unnamed))
            if not named or named[-1].name == query.get("after"):
                detail = "the page has no name from which to continue"
                return Error(Failure(Step.READ_OBJECT, PEER, "malformed", detail))
            query = {"after": named[-1].name}

    async def watch_kind(
        self, kind: str, position: StorePosition, timeout: float
    ) -> Result[ObjectListing, Failure]:
        """
        Wait for changes of a kind after a position.

        Parameters
        ----------
        kind : str
            Kind of the objects.
        position : StorePosition
            Position of the store; only later changes are returned.
        timeout : float
            Maximum time to wait for a change, in seconds.

        Returns
        -------
        Result
            The changed objects; none if nothing has changed in time.  A failure of
            kind ``"compacted"`` or ``"restored"`` means that the store does not have
            the history since `position`, and one of kind ``"unnamed"`` or
            ``"too-large"`` that it can't be read; in each case the objects must be
            listed again.
        """
        query = {
            "watch": str(position.revision),
            "wait_ms": str(int(timeout * 1000)),
        }
        limit = timeout + self.call_timeout
        answer = await self.get(Step.WATCH, kind, query, limit)
        if answer.is_error():
            return Error(answer.error)
        body, era = answer.ok
        if era != position.era:
            return Error(restored_failure(Step.WATCH, position.era, era))
        try:
            changes = [decode_event(event, era) for event in read_list(body, "events")]
            revision = read_revision(body, "current_rev")
        except MALFORMED as error:
            return Error(malformed_failure(Step.WATCH, error))
        named = [change for change in changes if change is not None]
        if len(named) < len(changes):
            detail = f"{len(changes) - len(named)} changes without a name"
            return Error(Failure(Step.WATCH, PEER, "unnamed", detail))
        return Ok(ObjectListing(named, StorePosition(era, revision)))

    async def read(self, name: str) -> Result[StoredObject | None, Failure]:
        """
        Read the object ``KIND/NAME``; return None if it does not exist.

        The value of an object whose content can't be read is None.
        """
        answer = await self.get(Step.READ_OBJECT, name, {}, self.call_timeout)
        if answer.is_error():
            if answer.error.kind == "missing":
                return Ok(None)
            return Error(answer.error)
        body, era = answer.ok
        try:
            version = read_revision(body["metadata"], "rev")
            value = body.get("spec")
        except MALFORMED as error:
            return Error(malformed_failure(Step.READ_OBJECT, error))
        is_readable = not isinstance(value, Unreadable)
        return Ok(StoredObject(name, version, value if is_readable else None, era))

    async def write(self, name: str, value: Any, expected_version: int) -> WriteOutcome:
        """
        Write an object if its revision is the expected one.

        Parameters
        ----------
        name : str
            ``KIND/NAME``.
        value : Any
            New content.
        expected_version : int
            Revision that the object must have; 0 if it must not exist.

        Returns
        -------
        WriteOutcome
            `Conflict` if the object has another revision or is missing, `Refused` if
            the write had no effect for another reason, and `Ambiguous` if it may have
            had an effect.
        """
        limited = await self.acquire_permit(Step.WRITE_OBJECT)
        if limited is not None:
            return Refused(limited)
        kind, _, short = name.partition("/")
        meta: dict[str, Any] = {"name": short, "finalizers": []}
        if expected_version:
            meta["rev"] = expected_version
        method = "PUT" if expected_version else "POST"
        path = name if expected_version else kind
        url = f"{self.base_url}/objects/{path}"
        body = {"metadata": meta, "spec": value, "status": None}
        limit = aiohttp.ClientTimeout(total=self.call_timeout)
        try:
            async with self.session.request(
                method, url, json=body, timeout=limit
            ) as response:
                era = self.read_era(response)
                if response.status in (409, 404):
                    return Conflict()
                if response.status in NO_EFFECT_STATUSES:
                    return Refused(status_failure(Step.WRITE_OBJECT, response.status))
                if response.status >= 400:
                    return Ambiguous(status_failure(Step.WRITE_OBJECT, response.status))
                answer = load_page(await read_answer_body(response, MAX_ANSWER_BYTES))
                return Written(read_revision(answer["metadata"], "rev"), era)
        except aiohttp.ClientConnectorError as error:
            # No connection was made, so the request was not sent.
            return Refused(no_answer_failure(Step.WRITE_OBJECT, error))
        except (*REQUEST_ERRORS, *MALFORMED) as error:
            return Ambiguous(no_answer_failure(Step.WRITE_OBJECT, error))

    async def get(
        self, step: Step, path: str, query: dict[str, str], timeout: float
    ) -> Result[tuple[Any, int], Failure]:
        """Make a GET call and return the decoded body and the era, or a failure."""
        limited = await self.acquire_permit(step)
        if limited is not None:
            return Error(limited)
        limit = aiohttp.ClientTimeout(total=timeout, connect=self.call_timeout)
        url = f"{self.base_url}/objects/{path}"
        try:
            async with self.session.get(url, params=query, timeout=limit) as response:
                era = self.read_era(response)
                if response.status == 200:
                    body = await read_answer_body(response, MAX_ANSWER_BYTES)
                    return Ok((load_page(body, self.unreadable), era))
                return Error(status_failure(step, response.status))
        except AnswerTooLargeError as error:
            kind = "too-large" if step is Step.WATCH else "no-answer"
            return Error(Failure(step, PEER, kind, str(error)))
        except REQUEST_ERRORS as error:
            return Error(no_answer_failure(step, error))

    def read_era(self, response: aiohttp.ClientResponse) -> int:
        """Return the era that an answer names, and report it; 0 without one."""
        text = response.headers.get(headers.STORE_ERA, "")
        if not (text.isascii() and text.isdigit()):
            return 0
        era = int(text)
        self.note_era(era)
        return era


def decode_event(event: Any, era: int) -> ObjectChange | None:
    """Decode one change of a watch; return None if it names no object."""
    if not isinstance(event, dict):
        return None
    deleted = event.get("deleted")
    if isinstance(deleted, Unreadable):
        return None
    return decode_change(event.get("object"), bool(deleted), era)


def read_list(answer: dict[str, Any], key: str) -> list[Any]:
    """
    Return a list in an answer.

    Raises
    ------
    KeyError, TypeError
        If there is none.
    """
    found = answer[key]
    if not isinstance(found, list):
        raise TypeError(f"{key} is no list")
    return found


def read_revision(fields: dict[str, Any], key: str) -> int:
    """
    Return a revision of the store.

    Raises
    ------
    KeyError, ValueError
        If there is none.
    """
    revision = decode_revision(fields[key])
    if revision is None:
        raise ValueError(f"{key} is no revision")
    return revision


def restored_failure(step: Step, before: int, era: int) -> Failure:
    """Return the failure of a call whose answer belongs to another era."""
    return Failure(step, PEER, "restored", f"era {era} instead of {before}")


def status_failure(step: Step, status: int) -> Failure:
    """Return the failure for an error status."""
    kinds = {404: "missing", 410: "compacted", 429: "rate", 503: "unavailable"}
    return Failure(step, PEER, kinds.get(status, "refused"), f"status {status}")


def no_answer_failure(step: Step, error: BaseException) -> Failure:
    """Return the failure of a call that got no usable response."""
    return Failure(step, PEER, "no-answer", f"{type(error).__name__}: {error}")


def malformed_failure(step: Step, error: BaseException) -> Failure:
    """Return the failure of a response that can't be decoded."""
    return Failure(step, PEER, "malformed", f"{type(error).__name__}: {error}")


def make_keepalive_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Return a socket that detects within seconds that its peer is unresponsive."""
    family, kind, protocol, _, _ = address
    sock = socket.socket(family, kind, protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in TCP_OPTIONS.items():
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
    return sock


def make_store_connector() -> aiohttp.BaseConnector:
    """Return a connector that detects unresponsive connections."""
    return aiohttp.TCPConnector(socket_factory=make_keepalive_socket)


@asynccontextmanager
async def open_store_client(
    address: str,
    call_timeout: float,
    acquire_permit: Callable[[Step], Awaitable[Failure | None]],
    make_connector: Callable[[], aiohttp.BaseConnector] | None = None,
    note_era: Callable[[int], None] = lambda era: None,
) -> AsyncIterator[StoreClient]:
    """
    Open a client, and close its connections on exit.

    Parameters
    ----------
    address : str
        ``IP:PORT`` of the store.
    call_timeout : float
        Timeout of a call, in seconds.
    acquire_permit : callable
        Rate limiter, as in `StoreClient`.
    make_connector : callable or None
        Returns the connector; None to use `make_store_connector`.
    note_era : callable
        Takes the era of the store that an answer names.
    """
    connector = (make_connector or make_store_connector)()
    async with open_session(connector=connector) as session:
        yield StoreClient(
            f"http://{address}", session, call_timeout, acquire_permit, note_era
        )
