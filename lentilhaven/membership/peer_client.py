"""Client of other agents: JSON over HTTP, authenticated by the cluster's token."""

import json
from typing import Any, TypeVar

import aiohttp
import attrs
from expression import Error, Ok, Result

from lentilhaven.core.answer_body import read_answer_json
from lentilhaven.core.converter import to_document
from lentilhaven.core.failure import Failure
from lentilhaven.core.settings import structure_document
from lentilhaven.core.step import Step

T = TypeVar("T")

#: Maximum size of an answer, which may hold all tables, in bytes.
MAX_ANSWER_BYTES = 64_000_000

#: Exceptions that mean that a request failed; ValueError includes invalid JSON.
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

#: Headers that aiohttp adds by default and agents do not use.
SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")

#: Minimum length of a request body that is compressed, in characters.
MIN_COMPRESSED_SIZE = 600


@attrs.define
class PeerClient:
    """
    Sends requests to other agents.

    Attributes
    ----------
    session : aiohttp.ClientSession
        Session for the requests; owned by the caller.
    token : str
        Token that the system's processes share.
    """

    session: aiohttp.ClientSession
    token: str

    async def get(self, url: str, kind: type[T], timeout: float) -> Result[T, Failure]:
        """
        Read a message.

        Parameters
        ----------
        url : str
            URL of the resource at the agent.
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
        Send a message and return the response.

        Parameters
        ----------
        url : str
            URL of the resource at the agent.
        message : object
            An attrs instance.
        kind : type
            Class of the response.
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
            URL of the resource at the agent.
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
        body_text = None if body is None else json.dumps(body, separators=(",", ":"))
        headers = {"Authorization": f"Bearer {self.token}"}
        if body_text is not None:
            headers["Content-Type"] = "application/json"
        compressed = body_text is not None and len(body_text) >= MIN_COMPRESSED_SIZE
        try:
            async with self.session.request(
                method,
                url,
                data=body_text,
                headers=headers,
                compress="deflate" if compressed else None,
                skip_auto_headers=SKIPPED_HEADERS,
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                response.raise_for_status()
                return Ok(await read_answer_json(response, MAX_ANSWER_BYTES))
        except REQUEST_ERRORS as error:
            detail = f"{type(error).__name__}: {error}"
            return Error(Failure(Step.SPREAD, url, "peer-lost", detail))
