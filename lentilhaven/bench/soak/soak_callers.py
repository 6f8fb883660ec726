"""Callers that keep their connections and write down what they got."""

import asyncio
import itertools
from collections.abc import Iterator
from random import Random

import aiohttp
import attrs

from lentilhaven.bench.soak.soak_tables import KEYS
from lentilhaven.standins.platform.sample_files import read_headers, request_headers

#: Seconds after which a caller leaves.
PATIENCE = 8.0

#: Mean seconds between the requests of one caller.
PAUSE = 0.15

#: Answers that promise that a request has not run and will not.
NOT_RUN = (408, 421, 429, 503)

#: Kinds of requests with how often they are sent.
KINDS = {"post": 4, "look": 3, "draft": 2, "once": 1}


@attrs.define(eq=False)
class Attempt:
    """
    One attempt of a caller.

    Attributes
    ----------
    id : str
        Its id.
    kind : str
        Route that it uses; ``"probe"`` asks which manifest is in force.
    target : str
        Its path.
    tenant : str
        Workspace whose key it carries.
    gateway : int
        Who got it.
    began, ended : float
        Times of the event loop; 0 if it has not ended.
    status : int
        Status code; 0 if there was no answer.
    signature : str
        Code by which the answer is the replica's own.
    body : bytes
        What came.
    complete : bool
        Whether the answer came whole.
    reached : bool
        Whether a gateway took the connection.
    events : int
        Events that a stream should have.
    """

    id: str
    kind: str
    target: str
    tenant: str
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
        Decides what is asked.
    addresses : list of str
        Where the gateways listen for callers.
    attempts : list of Attempt
        Everything that was asked.
    numbers : iterator of int
        Numbers of attempts.
    """

    random: Random
    addresses: list[str]
    attempts: list[Attempt] = attrs.field(factory=list)
    numbers: Iterator[int] = attrs.field(factory=itertools.count)

    async def call_for_ever(self, gateway: int) -> None:
        """Send one request after the other, to another gateway if one is gone."""
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=25.0)
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                kind = self.random.choices([*KINDS], [*KINDS.values()])[0]
                attempt = self.make_attempt(kind, gateway)
                wait = await self.perform(session, attempt)
                if not attempt.reached:
                    gateway = (gateway + 1) % len(self.addresses)
                pause = self.random.expovariate(1 / PAUSE)
                await asyncio.sleep(max(pause, wait))

    def make_attempt(self, kind: str, gateway: int, path: str = "") -> Attempt:
        """Return a new attempt."""
        number = next(self.numbers)
        attempt = Attempt(
            id=f"r{number}",
            kind=kind,
            target=path or f"/{kind}/{number}",
            tenant=self.random.choice(sorted(KEYS)),
            gateway=gateway,
            began=asyncio.get_running_loop().time(),
        )
        if kind in ("draft", "once"):
            attempt.events = self.random.randint(3, 40)
        self.attempts.append(attempt)
        return attempt

    async def perform(self, session: aiohttp.ClientSession, attempt: Attempt) -> float:
        """Send a request, and return for how long the caller should stay away."""
        headers = request_headers(
            attempt.id, KEYS[attempt.tenant], PATIENCE, 4 * attempt.events
        )
        posts = attempt.method == "POST"
        body = f"body of {attempt.id}".encode() if posts else None
        wait = 0.0
        try:
            async with session.request(
                attempt.method,
                f"http://{self.addresses[attempt.gateway]}{attempt.target}",
                headers=headers,
                data=body,
                timeout=aiohttp.ClientTimeout(total=PATIENCE, connect=1.0),
            ) as response:
                attempt.status = response.status
                attempt.signature, wait = read_headers(response.headers)
                async for part in response.content.iter_any():
                    attempt.body += part
                attempt.complete = True
        except aiohttp.ClientConnectorError:
            attempt.reached = False
        except (aiohttp.ClientError, TimeoutError, OSError):
            attempt.complete = False
        attempt.ended = asyncio.get_running_loop().time()
        return wait
