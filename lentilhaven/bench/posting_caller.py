"""A caller that makes one non-idempotent call, and repeats it by its key."""

import asyncio

import aiohttp
import attrs

from lentilhaven.testbed import Testbed

LOST = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

#: Requests that a caller makes for one call.
MAX_TRIES = 8

#: Seconds after which a caller gives a request up.
REQUEST_TIMEOUT = 10.0


@attrs.frozen
class PostingAnswer:
    """
    The answer to one request.

    Attributes
    ----------
    attempt : str
        Unique id of the request.
    status : int
        HTTP status; 0 if the connection broke.
    ran : str
        What the answer says of the execution; ``"lost"`` if there was none.
    kind : str
        Kind of the problem; empty for a response of the service.
    began, ended : float
        Monotonic times, in seconds.
    retry_after : float
        Seconds after which the answer asks for a repeat; 0 if it does not.
    """

    attempt: str
    status: int
    ran: str
    kind: str
    began: float
    ended: float
    retry_after: float = 0.0

    @property
    def final(self) -> bool:
        """Return whether a repeat with the same key is of no use."""
        return self.ran == "yes" or self.kind in ("outcome-unknown", "key-expired")


async def post_once(testbed: Testbed, url: str, key: str, name: str) -> PostingAnswer:
    """
    Make one request and return its answer.

    Parameters
    ----------
    testbed : Testbed
        The system.
    url : str
        Address of a router.
    key : str
        The idempotency key.
    name : str
        Unique id of the request.
    """
    headers = testbed.headers | {"Idempotency-Key": key, "X-Attempt": name}
    began = testbed.clock.monotonic()
    try:
        async with testbed.session.post(
            f"{url}/services/stock/postings",
            json={"meter": key},
            headers=headers,
            timeout=aiohttp.ClientTimeout(total=REQUEST_TIMEOUT),
        ) as response:
            document = await response.json()
            ended = testbed.clock.monotonic()
            if response.status == 200:
                return PostingAnswer(name, 200, "yes", "", began, ended)
            kind = document["type"].rpartition(":")[2]
            retry_after = float(response.headers.get("Retry-After", "0"))
            return PostingAnswer(
                name, response.status, document["ran"], kind, began, ended, retry_after
            )
    except LOST:
        return PostingAnswer(name, 0, "lost", "lost", began, testbed.clock.monotonic())


async def post_until_final(
    testbed: Testbed, index: int, key: str, choices: list[int]
) -> list[PostingAnswer]:
    """
    Repeat a call at one VM after another until its outcome is final.

    Parameters
    ----------
    testbed : Testbed
        The system.
    index : int
        Number of the call.
    key : str
        The idempotency key.
    choices : list of int
        Which VM each try goes to, counted over the VMs that live.
    """
    answers: list[PostingAnswer] = []
    for place, choice in enumerate(choices[:MAX_TRIES]):
        vm = testbed.vms[choice % len(testbed.vms)]
        answers.append(await post_once(testbed, vm.url, key, f"{index}.{place}"))
        if answers[-1].final:
            break
        await asyncio.sleep(max(0.2, answers[-1].retry_after))
    return answers
