"""A caller that makes a non-idempotent call and retries it with the same key."""

import asyncio

import aiohttp
import attrs

from lentilhaven.testbed import Testbed

#: Errors of a request without a valid answer; ValueError means a malformed body.
REQUEST_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)

#: Maximum number of requests that a caller makes for one call.
MAX_ATTEMPTS = 8

#: Timeout of a request, in seconds.
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
        HTTP status; 0 without an answer.
    ran : str
        Whether the call ran, as the answer states: ``"yes"``, ``"no"`` or
        ``"unknown"``; ``"lost"`` without an answer.
    kind : str
        Problem type, ``"lost"`` without an answer; empty for a response of the
        service.
    began, ended : float
        Start and end of the request on the monotonic clock, in seconds.
    retry_after : float
        Value of the ``Retry-After`` header in seconds; 0 if it is missing.
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
        """Return whether a retry with the same key cannot change the outcome."""
        return self.ran == "yes" or self.kind in ("outcome-unknown", "key-expired")


async def post_once(
    testbed: Testbed, url: str, key: str, attempt: str
) -> PostingAnswer:
    """
    Send one request and return its answer.

    Parameters
    ----------
    testbed : Testbed
        Testbed that serves the calls.
    url : str
        Base URL of a router.
    key : str
        Idempotency key.
    attempt : str
        Unique id of the request.
    """
    headers = testbed.headers | {"Idempotency-Key": key, "X-Attempt": attempt}
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
                return PostingAnswer(attempt, 200, "yes", "", began, ended)
            kind = document["type"].rpartition(":")[2]
            retry_after = float(response.headers.get("Retry-After", "0"))
            return PostingAnswer(
                attempt,
                response.status,
                document["ran"],
                kind,
                began,
                ended,
                retry_after,
            )
    except REQUEST_ERRORS:
        return PostingAnswer(
            attempt, 0, "lost", "lost", began, testbed.clock.monotonic()
        )


async def post_until_final(
    testbed: Testbed, name: str, key: str, vm_choices: list[int]
) -> list[PostingAnswer]:
    """
    Make a call and retry it, each time at a random VM, until its outcome is final.

    Returns the answers to all attempts, of which there are at most `MAX_ATTEMPTS`.

    Parameters
    ----------
    testbed : Testbed
        Testbed that serves the calls.
    name : str
        Name of the caller, unique in the run; part of its attempt ids.
    key : str
        Idempotency key.
    vm_choices : list of int
        Random numbers, one per attempt, taken modulo the number of VMs in
        `testbed.vms`.
    """
    answers: list[PostingAnswer] = []
    for attempt_index, vm_choice in enumerate(vm_choices[:MAX_ATTEMPTS]):
        vm = testbed.vms[vm_choice % len(testbed.vms)]
        answers.append(await post_once(testbed, vm.url, key, f"{name}.{attempt_index}"))
        if answers[-1].final:
            break
        await asyncio.sleep(max(0.2, answers[-1].retry_after))
    return answers
