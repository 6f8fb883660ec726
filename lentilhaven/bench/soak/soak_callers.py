"""Callers that keep their connections open and record the responses."""

import asyncio
import itertools
from collections.abc import Iterator
from random import Random

import aiohttp
import attrs

from lentilhaven.bench.soak.soak_tables import API_KEYS
from lentilhaven.standins.platform.sample_files import read_headers, request_headers

#: Seconds after which a caller gives up a request.
CALLER_TIMEOUT = 8.0

#: Mean seconds between the requests of one caller.
MEAN_PAUSE = 0.15

#: Statuses that guarantee that a request has not run and will not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)

#: Relative frequency by kind of request; a kind is the name of a route.
KIND_WEIGHTS = {"post": 4, "look": 3, "draft": 2, "once": 1}


@attrs.define(eq=False)
class Attempt:
    """
    A request that a caller sent, and its response.

    Attributes
    ----------
    id : str
        Unique id.
    kind : str
        Name of the route; ``"probe"`` checks which manifest a gateway uses.
    target : str
        Request target.
    workspace : str
        Workspace whose API key is sent.
    gateway : int
        Index of the gateway to which the request is sent.
    began, ended : float
        Times of the event loop, in seconds; `ended` is 0 until the request has ended.
    status : int
        Status code; 0 if there was no response.
    signature : str
        Signature of the replica that responded; empty if there is none.
    body : bytes
        Body of the response, as far as it was received.
    complete : bool
        Whether the response was received completely.
    reached : bool
        Whether a gateway accepted the connection.
    events : int
        Expected number of events of a stream; 0 for other requests.
    """

    id: str
    kind: str
    target: str
    workspace: str
    gateway: int
    began: float
    ended: float = 0.0
    status: int = 0
    signature: str = ""
    body: bytes = b""
    complete: bool = False
    reached: bool = True
    events: int = 0

    @property
    def method(self) -> str:
        """Return the method of the request."""
        return "GET" if self.kind in ("look", "probe") else "POST"


@attrs.define(eq=False)
class SoakCallers:
    """
    All callers of a soak.

    Attributes
    ----------
    random : random.Random
        Source of randomness.
    addresses : list of str
        Addresses on which the gateways accept callers.
    attempts : list of Attempt
        All requests that were sent.
    attempt_numbers : iterator of int
        Yields the numbers of new attempts.
    """

    random: Random
    addresses: list[str]
    attempts: list[Attempt] = attrs.field(factory=list)
    attempt_numbers: Iterator[int] = attrs.field(factory=itertools.count)

    async def send_requests(self, gateway: int) -> None:
        """
        Send requests in sequence until cancelled.

        After a gateway was unreachable, requests are sent to the next one.
        """
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=25.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                kind = self.random.choices([*KIND_WEIGHTS], [*KIND_WEIGHTS.values()])[0]
                attempt = self.make_attempt(kind, gateway)
                retry_after = await self.send_request(session, attempt)
                if not attempt.reached:
                    gateway = (gateway + 1) % len(self.addresses)
                pause = self.random.expovariate(1 / MEAN_PAUSE)
                await asyncio.sleep(max(pause, retry_after))

    def make_attempt(self, kind: str, gateway: int, path: str = "") -> Attempt:
        """Return a new attempt, and add it to `attempts`."""
        number = next(self.attempt_numbers)
        attempt = Attempt(
            id=f"r{number}",
            kind=kind,
            target=path or f"/{kind}/{number}",
            workspace=self.random.choice(sorted(API_KEYS)),
            gateway=gateway,
            began=asyncio.get_running_loop().time(),
        )
        if kind in ("draft", "once"):
            attempt.events = self.random.randint(3, 40)
        self.attempts.append(attempt)
        return attempt

    async def send_request(
        self, session: aiohttp.ClientSession, attempt: Attempt
    ) -> float:
        """
        Send a request and record the response in the attempt.

        Return the seconds to wait according to ``Retry-After``, or 0.
        """
        headers = request_headers(
            attempt.id, API_KEYS[attempt.workspace], CALLER_TIMEOUT, 4 * attempt.events
        )
        has_body = attempt.method == "POST"
        body = f"body of {attempt.id}".encode() if has_body else None
        retry_after = 0.0
        try:
            async with session.request(
                attempt.method,
                f"http://{self.addresses[attempt.gateway]}{attempt.target}",
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=CALLER_TIMEOUT, connect=1.0),
            ) as response:
                attempt.status = response.status
                attempt.signature, retry_after = read_headers(response.headers)
                async for chunk in response.content.iter_any():
                    attempt.body += chunk
                attempt.complete = True
        except aiohttp.ClientConnectorError:
            attempt.reached = False
        except (aiohttp.ClientError, TimeoutError, OSError):
            attempt.complete = False
        attempt.ended = asyncio.get_running_loop().time()
        return retry_after
