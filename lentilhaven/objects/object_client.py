"""
Reads, conditional updates and watches over HTTP.

The wire: ``GET /objects/NAME`` answers ``{"name", "version", "value"}``;
``PUT /objects/NAME`` with ``If-Match: VERSION`` (0 for an object that must not
exist) answers the new version, or 412; ``GET /objects?prefix=P`` lists;
``GET /watch?prefix=P&after=V&timeout=S`` answers the objects below a prefix
that changed after a version, waiting for one if need be, or 410 when that part
of the history has been compacted away.  Lists and watches also answer the
``version`` of the whole store, from which the next watch goes on.  ``GET /vms``
answers the list of VMs and its own version.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.clock import Clock, system_clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.objects.listing import Listing
from lentilhaven.objects.response import (
    LOST,
    PEER,
    failure_of,
    parse_body,
    read_body,
    refusal_of,
)
from lentilhaven.objects.share import SHARE_RATES, Share
from lentilhaven.objects.stored_object import StoredObject
from lentilhaven.objects.token_bucket import TokenBucket
from lentilhaven.objects.vm import ListedVm
from lentilhaven.objects.vm_list import VmList
from lentilhaven.objects.write_outcome import (
    Ambiguous,
    Conflict,
    Refused,
    WriteOutcome,
    Written,
)

#: Seconds after which a read or a write is given up.
CALL_TIMEOUT = 2.0

#: Seconds beyond its own timeout after which a watch is taken for silent.
WATCH_SLACK = 0.5


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
    clock : Clock
        Source of time for the limit.
    bucket : TokenBucket or None
        Limits the rate of calls; None for no limit.
    buckets : dict
        `TokenBucket` by share, common to all clients of the process.
    """

    base_url: str
    session: aiohttp.ClientSession
    clock: Clock = attrs.field(factory=system_clock)
    bucket: TokenBucket | None = None
    buckets: dict[Share, TokenBucket] = attrs.field(factory=dict)

    def for_share(self, share: Share) -> "ObjectClient":
        """
        Return a client whose calls count against one share only.

        Parameters
        ----------
        share : Share
            What the calls are made for.
        """
        if share not in self.buckets:
            bucket = TokenBucket.full(self.clock, SHARE_RATES[share])
            self.buckets[share] = bucket
        return attrs.evolve(self, bucket=self.buckets[share])

    async def read(self, name: str) -> Result[StoredObject | None, Failure]:
        """
        Read one object; None when it does not exist.

        Parameters
        ----------
        name : str
            Name of the object.
        """
        limited = await self._wait_for_turn(Step.READ_OBJECT)
        if limited is not None:
            return Error(limited)
        try:
            async with self.session.get(f"{self.base_url}/objects/{name}") as response:
                if response.status == 404:
                    return Ok(None)
                body = await read_body(response)
        except LOST as error:
            return Error(failure_of(Step.READ_OBJECT, error))
        return parse_body(Step.READ_OBJECT, body, StoredObject)

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
        limited = await self._wait_for_turn(Step.WRITE_OBJECT)
        if limited is not None:
            return Refused(limited)
        headers = {"If-Match": str(expected_version)}
        url = f"{self.base_url}/objects/{name}"
        try:
            async with self.session.put(url, json=value, headers=headers) as response:
                if response.status == 412:
                    return Conflict()
                if response.status in (413, 429):
                    return Refused(refusal_of(response))
                body = await read_body(response)
                return Written(int(body["version"]))
        except aiohttp.ClientConnectorError as error:
            return Refused(failure_of(Step.WRITE_OBJECT, error))
        except (*LOST, KeyError, TypeError) as error:
            return Ambiguous(failure_of(Step.WRITE_OBJECT, error))

    async def list_below(self, prefix: str) -> Result[list[StoredObject], Failure]:
        """
        Read all objects whose names start with `prefix`.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        """
        return (await self.list_at(prefix)).map(lambda listing: listing.objects)

    async def list_at(self, prefix: str) -> Result[Listing, Failure]:
        """
        Read all objects whose names start with `prefix`, and the version of it all.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        """
        url = f"{self.base_url}/objects"
        limit = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
        return await self._list(Step.READ_OBJECT, url, {"prefix": prefix}, limit)

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[list[StoredObject], Failure]:
        """
        Wait until objects below `prefix` are newer than `after`.

        Parameters
        ----------
        prefix, after, timeout
            As in `watch_from`.

        Returns
        -------
        Result
            Newest state of each changed object; failures as in `watch_from`.
        """
        outcome = await self.watch_from(prefix, after, timeout)
        return outcome.map(lambda listing: listing.objects)

    async def watch_from(
        self, prefix: str, after: int, timeout: float
    ) -> Result[Listing, Failure]:
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
            Newest state of each changed object, and the version to go on from.
            A failure of kind ``"compacted"`` says that `after` is too old:
            list again.
        """
        query = {"prefix": prefix, "after": str(after), "timeout": str(timeout)}
        limit = aiohttp.ClientTimeout(total=timeout + WATCH_SLACK)
        return await self._list(Step.WATCH, f"{self.base_url}/watch", query, limit)

    async def _list(
        self,
        step: Step,
        url: str,
        query: dict[str, str],
        limit: aiohttp.ClientTimeout,
    ) -> Result[Listing, Failure]:
        limited = await self._wait_for_turn(step)
        if limited is not None:
            return Error(limited)
        try:
            async with self.session.get(url, params=query, timeout=limit) as response:
                if response.status == 410:
                    return Error(Failure(step, PEER, "compacted", "history is gone"))
                body = await read_body(response)
        except LOST as error:
            return Error(failure_of(step, error))
        return parse_body(step, body, Listing)

    async def list_vms(self) -> Result[list[ListedVm], Failure]:
        """Read the platform's list of VMs, which lags behind the truth."""
        return (await self.read_vm_list()).map(lambda listed: listed.vms)

    async def read_vm_list(self) -> Result[VmList, Failure]:
        """Read the platform's list of VMs and its version."""
        limited = await self._wait_for_turn(Step.LIST_VMS)
        if limited is not None:
            return Error(limited)
        try:
            async with self.session.get(f"{self.base_url}/vms") as response:
                body = await read_body(response)
        except LOST as error:
            return Error(failure_of(Step.LIST_VMS, error))
        return parse_body(Step.LIST_VMS, body, VmList)

    async def _wait_for_turn(self, step: Step) -> Failure | None:
        """Wait for the share's token; return a failure if it is used up."""
        if self.bucket is None:
            return None
        wait = self.bucket.reserve(CALL_TIMEOUT)
        if wait is None:
            detail = "this process has used up its share of the platform's rate"
            return Failure(step, PEER, "share-used-up", detail, retry_after=1.0)
        if wait > 0:
            await self.clock.sleep(wait)
        return None


@asynccontextmanager
async def open_object_client(
    base_url: str,
    connector: aiohttp.BaseConnector | None = None,
    clock: Clock | None = None,
) -> AsyncIterator[ObjectClient]:
    """
    Open a client and close its connections at the end.

    Parameters
    ----------
    base_url : str
        Where the platform answers.
    connector : aiohttp.BaseConnector or None
        Replaces the TCP connector, for virtual time.
    clock : Clock or None
        Replaces the system's clock.
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
    async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
        yield ObjectClient(base_url, session, clock or system_clock())
