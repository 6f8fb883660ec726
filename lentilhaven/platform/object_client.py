"""
Reads, conditional updates and watches over HTTP.

The wire: ``GET /objects/NAME`` answers ``{"name", "version", "value"}``;
``PUT /objects/NAME`` with ``If-Match: VERSION`` (0 for an object that must not
exist) answers the new version, or 412; ``GET /objects?prefix=P`` lists;
``GET /watch?prefix=P&after=V&timeout=S`` answers the objects below a prefix
that changed after a version, waiting for one if need be, or 410 when that part
of the history has been compacted away.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import CONVERTER
from lentilhaven.core.step import Step
from lentilhaven.platform.stored_object import StoredObject
from lentilhaven.platform.vm import ListedVm
from lentilhaven.platform.write_outcome import (
    Ambiguous,
    Conflict,
    Refused,
    WriteOutcome,
    Written,
)

#: Seconds after which a read or a write is given up.
CALL_TIMEOUT = 2.0

#: Seconds beyond its own timeout after which a watch is taken for silent.
WATCH_SLACK = 2.0

PEER = "object-api"

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


@attrs.define
class ObjectClient:
    """
    A client of the object API.

    Attributes
    ----------
    base_url : str
        Where the platform answers.
    session : aiohttp.ClientSession
        Connections, closed by `open_object_client`.
    """

    base_url: str
    session: aiohttp.ClientSession

    async def read(self, name: str) -> Result[StoredObject | None, Failure]:
        """
        Read one object; None when it does not exist.

        Parameters
        ----------
        name : str
            Name of the object.
        """
        try:
            async with self.session.get(f"{self.base_url}/objects/{name}") as response:
                if response.status == 404:
                    return Ok(None)
                body = await read_body(response)
                return Ok(CONVERTER.structure(body, StoredObject))
        except LOST as error:
            return Error(failure_of(Step.READ_OBJECT, error))

    async def write(self, name: str, value: Any, expected_version: int) -> WriteOutcome:
        """
        Replace an object if it still has `expected_version`.

        Parameters
        ----------
        name : str
            Name of the object.
        value : Any
            JSON value, at most 1 MB.
        expected_version : int
            The version read before; 0 if the object must not exist.
        """
        headers = {"If-Match": str(expected_version)}
        url = f"{self.base_url}/objects/{name}"
        try:
            async with self.session.put(url, json=value, headers=headers) as response:
                if response.status == 412:
                    return Conflict()
                if response.status in (413, 429):
                    return Refused(await refusal_of(response))
                body = await read_body(response)
                return Written(int(body["version"]))
        except aiohttp.ClientConnectorError as error:
            return Refused(failure_of(Step.WRITE_OBJECT, error))
        except LOST as error:
            return Ambiguous(failure_of(Step.WRITE_OBJECT, error))

    async def list_below(self, prefix: str) -> Result[list[StoredObject], Failure]:
        """
        Read all objects whose names start with `prefix`.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        """
        url = f"{self.base_url}/objects"
        limit = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
        return await self._objects(Step.READ_OBJECT, url, {"prefix": prefix}, limit)

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[list[StoredObject], Failure]:
        """
        Wait until objects below `prefix` are newer than `after`.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        after : int
            Version already seen.
        timeout : float
            Seconds to wait; an empty list says that nothing changed.

        Returns
        -------
        Result
            Newest state of each changed object.  A failure of kind
            ``"compacted"`` says that `after` is too old: list again.
        """
        query = {"prefix": prefix, "after": str(after), "timeout": str(timeout)}
        limit = aiohttp.ClientTimeout(total=timeout + WATCH_SLACK)
        return await self._objects(Step.WATCH, f"{self.base_url}/watch", query, limit)

    async def _objects(
        self,
        step: Step,
        url: str,
        query: dict[str, str],
        limit: aiohttp.ClientTimeout,
    ) -> Result[list[StoredObject], Failure]:
        try:
            async with self.session.get(url, params=query, timeout=limit) as response:
                if response.status == 410:
                    return Error(Failure(step, PEER, "compacted", "history is gone"))
                body = await read_body(response)
                return Ok(CONVERTER.structure(body["objects"], list[StoredObject]))
        except LOST as error:
            return Error(failure_of(step, error))

    async def list_vms(self) -> Result[list[ListedVm], Failure]:
        """Read the platform's list of VMs, which lags behind the truth."""
        try:
            async with self.session.get(f"{self.base_url}/vms") as response:
                body = await read_body(response)
                return Ok(CONVERTER.structure(body["vms"], list[ListedVm]))
        except LOST as error:
            return Error(failure_of(Step.LIST_VMS, error))


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


async def refusal_of(response: aiohttp.ClientResponse) -> Failure:
    """Return the failure that a 413 or 429 response stands for."""
    kind = "too-large" if response.status == 413 else "rate-limited"
    detail = f"status {response.status}"
    return Failure(Step.WRITE_OBJECT, PEER, kind, detail, retry_after=1.0)


def failure_of(step: Step, error: BaseException) -> Failure:
    """Return the failure that a lost call stands for."""
    detail = f"{type(error).__name__}: {error}"
    return Failure(step, PEER, "store-unavailable", detail, retry_after=1.0)


@asynccontextmanager
async def open_object_client(
    base_url: str, connector: aiohttp.BaseConnector | None = None
) -> AsyncIterator[ObjectClient]:
    """
    Open a client and close its connections at the end.

    Parameters
    ----------
    base_url : str
        Where the platform answers.
    connector : aiohttp.BaseConnector or None
        Replaces the TCP connector, for virtual time.
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield ObjectClient(base_url, session)
