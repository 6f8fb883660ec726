"""
Reads, conditional updates and watches of objects over HTTP.

The object API has these requests:

- ``GET /objects/NAME`` returns ``{"name", "version", "value"}``.
- ``PUT /objects/NAME`` with ``If-Match: VERSION`` (0 for an object that must not
  exist) returns the new version, or 412.
- ``GET /objects?prefix=P`` returns the objects whose names start with a prefix.
- ``GET /watch?prefix=P&after=V&timeout=S`` returns the objects that changed after
  a version, and waits up to S seconds for a change if there is none yet.  It
  returns 410 if that part of the history has been compacted.
- ``GET /vms`` returns the list of VMs and the version of that list.

Lists and watches also return the ``version`` of the whole store, from which the
next watch continues.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.client_session import open_session
from lentilhaven.core.clock import Clock, system_clock
from lentilhaven.core.failure import Failure
from lentilhaven.core.step import Step
from lentilhaven.objects.listing import Listing
from lentilhaven.objects.response import (
    CALL_ERRORS,
    PEER,
    failure_from_error,
    failure_from_response,
    parse_body,
    read_body,
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

#: Timeout of a read or a write in seconds.
CALL_TIMEOUT = 2.0

#: Time by which the HTTP timeout of a watch exceeds the watch's own timeout, in
#: seconds.
WATCH_SLACK = 0.5


@attrs.define
class ObjectClient:
    """
    Client of the object API.

    Attributes
    ----------
    base_url : str
        Base URL of the object API.
    session : aiohttp.ClientSession
        HTTP session, which `open_object_client` closes.
    clock : Clock
        Clock of the rate limits.
    bucket : TokenBucket or None
        Rate limit of this client's calls; None for no limit.
    buckets : dict
        `TokenBucket` by share, common to this client and all that
        `for_share` derives from it.
    """

    base_url: str
    session: aiohttp.ClientSession
    clock: Clock = attrs.field(factory=system_clock)
    bucket: TokenBucket | None = None
    buckets: dict[Share, TokenBucket] = attrs.field(factory=dict)

    def for_share(self, share: Share) -> "ObjectClient":
        """
        Return a client whose calls count towards the rate limit of one share.

        Parameters
        ----------
        share : Share
            Purpose of the calls.
        """
        if share not in self.buckets:
            bucket = TokenBucket.full(self.clock, SHARE_RATES[share])
            self.buckets[share] = bucket
        return attrs.evolve(self, bucket=self.buckets[share])

    async def read(self, name: str) -> Result[StoredObject | None, Failure]:
        """
        Return one object, or None if it does not exist.

        Parameters
        ----------
        name : str
            Name of the object.
        """
        failure = await self._wait_for_rate_limit(Step.READ_OBJECT)
        if failure is not None:
            return Error(failure)
        try:
            async with self.session.get(f"{self.base_url}/objects/{name}") as response:
                if response.status == 404:
                    return Ok(None)
                body = await read_body(response)
        except CALL_ERRORS as error:
            return Error(failure_from_error(Step.READ_OBJECT, error))
        return parse_body(Step.READ_OBJECT, body, StoredObject)

    async def write(self, name: str, value: Any, expected_version: int) -> WriteOutcome:
        """
        Create or replace an object if its version is still `expected_version`.

        Parameters
        ----------
        name : str
            Name of the object.
        value : Any
            JSON value, at most 1 MB.
        expected_version : int
            Version that the writer has read; 0 if the object must not exist.

        Returns
        -------
        WriteOutcome
            `Conflict` if the version has changed, `Refused` if the write had no
            effect for another reason, and `Ambiguous` if it may have had an effect
            or may still have one.
        """
        failure = await self._wait_for_rate_limit(Step.WRITE_OBJECT)
        if failure is not None:
            return Refused(failure)
        headers = {"If-Match": str(expected_version)}
        url = f"{self.base_url}/objects/{name}"
        try:
            async with self.session.put(url, json=value, headers=headers) as response:
                if response.status == 412:
                    return Conflict()
                if response.status in (413, 429):
                    return Refused(failure_from_response(response))
                body = await read_body(response)
                return Written(int(body["version"]))
        except aiohttp.ClientConnectorError as error:
            # No connection was made, so the request was not sent.
            return Refused(failure_from_error(Step.WRITE_OBJECT, error))
        except (*CALL_ERRORS, KeyError, TypeError) as error:
            return Ambiguous(failure_from_error(Step.WRITE_OBJECT, error))

    async def list_prefix(self, prefix: str) -> Result[list[StoredObject], Failure]:
        """
        Return all objects whose names start with `prefix`.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        """
        return (await self.list_with_version(prefix)).map(
            lambda listing: listing.objects
        )

    async def list_with_version(self, prefix: str) -> Result[Listing, Failure]:
        """
        Return all objects whose names start with `prefix`, and the store's version.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        """
        url = f"{self.base_url}/objects"
        client_timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
        return await self._list(
            Step.READ_OBJECT, url, {"prefix": prefix}, client_timeout
        )

    async def watch(
        self, prefix: str, after: int, timeout: float
    ) -> Result[list[StoredObject], Failure]:
        """
        Wait for changes of objects whose names start with `prefix`.

        Parameters
        ----------
        prefix, after, timeout
            As in `watch_from`.

        Returns
        -------
        Result
            Latest version of each changed object; failures as in `watch_from`.
        """
        outcome = await self.watch_from(prefix, after, timeout)
        return outcome.map(lambda listing: listing.objects)

    async def watch_from(
        self, prefix: str, after: int, timeout: float
    ) -> Result[Listing, Failure]:
        """
        Wait for changes of objects whose names start with `prefix`.

        Parameters
        ----------
        prefix : str
            Common start of the names.
        after : int
            Version of the store; only later changes are returned.
        timeout : float
            Maximum time to wait for a change, in seconds.

        Returns
        -------
        Result
            Latest version of each changed object, and the store's version, from
            which the next watch continues.  The list of objects is empty if none
            changed within `timeout`.  A failure of kind ``"compacted"`` means
            that `after` is too old and the objects must be listed again.
        """
        query = {"prefix": prefix, "after": str(after), "timeout": str(timeout)}
        client_timeout = aiohttp.ClientTimeout(total=timeout + WATCH_SLACK)
        return await self._list(
            Step.WATCH, f"{self.base_url}/watch", query, client_timeout
        )

    async def _list(
        self,
        step: Step,
        url: str,
        query: dict[str, str],
        client_timeout: aiohttp.ClientTimeout,
    ) -> Result[Listing, Failure]:
        failure = await self._wait_for_rate_limit(step)
        if failure is not None:
            return Error(failure)
        try:
            async with self.session.get(
                url, params=query, timeout=client_timeout
            ) as response:
                if response.status == 410:
                    return Error(Failure(step, PEER, "compacted", "history is gone"))
                body = await read_body(response)
        except CALL_ERRORS as error:
            return Error(failure_from_error(step, error))
        return parse_body(step, body, Listing)

    async def list_vms(self) -> Result[list[ListedVm], Failure]:
        """Return the platform's list of VMs, which may be out of date."""
        return (await self.read_vm_list()).map(lambda listed: listed.vms)

    async def read_vm_list(self) -> Result[VmList, Failure]:
        """Return the platform's list of VMs and its version."""
        failure = await self._wait_for_rate_limit(Step.LIST_VMS)
        if failure is not None:
            return Error(failure)
        try:
            async with self.session.get(f"{self.base_url}/vms") as response:
                body = await read_body(response)
        except CALL_ERRORS as error:
            return Error(failure_from_error(Step.LIST_VMS, error))
        return parse_body(Step.LIST_VMS, body, VmList)

    async def _wait_for_rate_limit(self, step: Step) -> Failure | None:
        """Wait for the rate limit; return a failure if the wait is too long."""
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
    Open a client, whose connections are closed when the context exits.

    Parameters
    ----------
    base_url : str
        Base URL of the object API.
    connector : aiohttp.BaseConnector or None
        Replaces the TCP connector, for runs in virtual time.
    clock : Clock or None
        Replaces the system's clock.
    """
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT)
    async with open_session(connector=connector, timeout=timeout) as session:
        yield ObjectClient(base_url, session, clock or system_clock())
