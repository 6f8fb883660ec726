"""The client of other agents: HTTP and JSON under the cluster's token."""

import json
from typing import Any, TypeVar

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.converter import to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step

T = TypeVar("T")

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

#: Headers that aiohttp would add and agents have no use for.
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")

#: Characters from which the body of a request is compressed.
COMPRESS_FROM = 600


@attrs.define
class PeerClient:
    """
    Asks other agents.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Connections; owned by the caller.
    token : str
        The cluster's token.
    """

    session: aiohttp.ClientSession
    token: str

    async def get(self, url: str, kind: type[T], timeout: float) -> Result[T, Failure]:
        """
        Read a message.

        Parameters
        ----------
        url : str
            Address of the agent and path.
        kind : type
            Class of the message.
        timeout : float
            Seconds after which to give up.
        """
        return await self._request("GET", url, None, kind, timeout)

    async def post(
        self, url: str, message: object, kind: type[T], timeout: float
    ) -> Result[T, Failure]:
        """
        Send a message and return the answer.

        Parameters
        ----------
        url : str
            Address of the agent and path.
        message : object
            An attrs instance.
        kind : type
            Class of the answer.
        timeout : float
            Seconds after which to give up.
        """
        return await self._request("POST", url, to_document(message), kind, timeout)

    async def get_document(self, url: str, timeout: float) -> Result[Any, Failure]:
        """
        Read a JSON document that is not a message.

        Parameters
        ----------
        url : str
            Address of the agent and path.
        timeout : float
            Seconds after which to give up.
        """
        return await self._exchange("GET", url, None, timeout)

    async def _request(
        self, method: str, url: str, body: Any, kind: type[T], timeout: float
    ) -> Result[T, Failure]:
        answered = await self._exchange(method, url, body, timeout)
        parsed = answered.bind(lambda document: structure_document(document, kind))
        return parsed.map_error(lambda it: attrs.evolve(it, step=Step.SPREAD, peer=url))

    async def _exchange(
        self, method: str, url: str, body: Any, timeout: float
    ) -> Result[Any, Failure]:
        text = None if body is None else json.dumps(body, separators=(",", ":"))
        headers = {"Authorization": f"Bearer {self.token}"}
        if text is not None:
            headers["Content-Type"] = "application/json"
        long = text is not None and len(text) >= COMPRESS_FROM
        try:
            async with self.session.request(
                method,
                url,
                data=text,
                headers=headers,
                compress="deflate" if long else None,
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                response.raise_for_status()
                return Ok(await response.json())
        except LOST as error:
            detail = f"{type(error).__name__}: {error}"
            return Error(Failure(Step.SPREAD, url, "peer-lost", detail))
