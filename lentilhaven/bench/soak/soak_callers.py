"""Callers that keep their connections open and record the responses."""

import asyncio
import itertools
import zlib
from collections.abc import Iterator
from random import Random

import attrs
import httptools

from lentilhaven.bench.soak.kept_connection import (
    KeptConnection,
    ResponseReader,
    encode_request,
    open_connection,
)
from lentilhaven.bench.soak.soak_tables import API_KEYS, MIN_IDLE_TIMEOUT
from lentilhaven.standins.platform.sample_files import (
    PROMPT_HEADER,
    SIGNATURE_FIELD,
    request_headers,
)

#: Seconds after which a caller gives up a request.
CALLER_TIMEOUT = 8.0

#: Mean seconds between the requests of one caller; each caller draws one.
MEAN_PAUSES = (0.1, 0.15, 0.6)

#: Maximum seconds for which a caller heeds ``Retry-After``: one that is refused for
#: minutes goes on with other requests, or with the same one.
MAX_PAUSE = 1.0

#: Seconds for which a caller keeps an idle connection.
MAX_IDLE = 0.8 * MIN_IDLE_TIMEOUT

#: First part of all prompts.
SHARED_PART = "5c1e07a2"

#: Fraction of the prompts of some callers that have the part that crashes engines.
FAULTY_FRACTION = 0.5

#: Fraction of the requests that are hot, and their target by kind and body: the same
#: each time.
HOT_FRACTION, HOT_TARGET, HOT_BODY = 0.2, "/{}/hot", b"hot body"

#: Fraction of the requests with a body whose last byte comes late, and the maximum
#: seconds by which it does.
SLOW_FRACTION, MAX_BODY_PAUSE = 0.05, 1.2

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
    sent_body : bytes
        Body of the request; by default one that no other request has, or none if the
        kind needs none.
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
    prompt : str
        Parts of the prompt of a stream; empty for other requests.
    reused : bool
        Whether the connection had carried a response before.
    closed : bool
        Whether the gateway ended the connection before a complete response.
    body_pause : float
        Seconds before the last byte of the body.
    """

    id: str
    kind: str
    target: str
    workspace: str
    gateway: int
    began: float
    sent_body: bytes = attrs.field()
    ended: float = 0.0
    status: int = 0
    signature: str = ""
    body: bytes = b""
    complete: bool = False
    reached: bool = True
    events: int = 0
    prompt: str = ""
    reused: bool = False
    closed: bool = False
    body_pause: float = 0.0

    @sent_body.default
    def _default_body(self) -> bytes:
        if self.kind in ("look", "probe"):
            return b""
        return f"body of {self.id}".encode()

    @property
    def method(self) -> str:
        """Return the method of the request."""
        return "POST" if self.sent_body else "GET"

    @property
    def served(self) -> bool:
        """Return whether the caller received a complete successful response."""
        return self.status == 200 and self.complete

    def set_prompt(self, middle: str = "") -> None:
        """Give a stream a prompt: a shared part, perhaps a middle one, and its own."""
        own = f"{zlib.crc32(self.id.encode()):08x}"
        self.prompt = f"{SHARED_PART}:40,{middle}{own}:{30 if middle else 60}"

    def record(self, response: ResponseReader) -> None:
        """Record what was received of a response."""
        self.status = response.status
        self.signature = response.fields.get(SIGNATURE_FIELD, "")
        self.body = response.body
        self.complete = response.complete


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
    crashing_part : str
        Part of prompts that crashes engines at present; empty for none.
    """

    random: Random
    addresses: list[str]
    attempts: list[Attempt] = attrs.field(factory=list)
    attempt_numbers: Iterator[int] = attrs.field(factory=itertools.count)
    crashing_part: str = ""

    async def send_requests(self, gateway: int, has_faulty_prompts: bool) -> None:
        """
        Send requests in sequence until cancelled.

        After a gateway was unreachable, requests are sent to the next one.

        Parameters
        ----------
        gateway : int
            Index of the first gateway.
        has_faulty_prompts : bool
            Whether prompts may have the part that crashes engines.
        """
        mean_pause = self.random.choice(MEAN_PAUSES)
        while True:
            async with open_connection(self.addresses[gateway], MAX_IDLE) as connection:
                attempt = None
                while attempt is None or attempt.reached:
                    attempt = self.draw_attempt(gateway, has_faulty_prompts)
                    retry_after = await self.send_request(connection, attempt)
                    pause = self.random.expovariate(1 / mean_pause)
                    await asyncio.sleep(max(pause, min(retry_after, MAX_PAUSE)))
            gateway = (gateway + 1) % len(self.addresses)

    def draw_attempt(self, gateway: int, has_faulty_prompts: bool) -> Attempt:
        """Return a new attempt of a random kind."""
        kind = self.random.choices([*KIND_WEIGHTS], [*KIND_WEIGHTS.values()])[0]
        attempt = self.make_attempt(kind, gateway)
        if self.random.random() < HOT_FRACTION:
            attempt.target = HOT_TARGET.format(kind)
            attempt.sent_body = attempt.sent_body and HOT_BODY
        if attempt.sent_body and self.random.random() < SLOW_FRACTION:
            attempt.body_pause = self.random.uniform(0.0, MAX_BODY_PAUSE)
        is_faulty = has_faulty_prompts and self.random.random() < FAULTY_FRACTION
        if attempt.events:
            middle = f"{self.crashing_part}:30," if is_faulty else ""
            middle = middle if self.crashing_part else ""
            attempt.set_prompt(middle)
        return attempt

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

    async def send_request(self, connection: KeptConnection, attempt: Attempt) -> float:
        """
        Send a request and record the response in the attempt.

        Return the seconds to wait according to ``Retry-After``, or 0.
        """
        headers = request_headers(
            attempt.id, API_KEYS[attempt.workspace], CALLER_TIMEOUT, 4 * attempt.events
        )
        if attempt.prompt:
            headers[PROMPT_HEADER] = attempt.prompt
        request = encode_request(
            attempt.method, attempt.target, headers, attempt.sent_body
        )
        response = ResponseReader()
        try:
            await connection.ensure_open()
            attempt.reused = connection.is_reused
            async with asyncio.timeout(CALLER_TIMEOUT):
                await connection.exchange(request, response, attempt.body_pause)
            attempt.closed = not response.complete
        except ConnectionRefusedError:
            attempt.reached = False
        except TimeoutError:
            connection.close()
        except (OSError, httptools.HttpParserError):
            attempt.closed = True
            connection.close()
        attempt.record(response)
        attempt.ended = asyncio.get_running_loop().time()
        return float(response.fields.get("retry-after", "0"))
