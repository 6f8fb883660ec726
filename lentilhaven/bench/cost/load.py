"""Low-overhead load generator for streamed completions."""

import asyncio
import json
import time

import attrs

from lentilhaven.bench.cost.emitter import WORKSPACE_TOKEN


@attrs.define
class LoadResult:
    """
    Measurements of all requests.

    Attributes
    ----------
    delays : list of float
        Seconds from the emission of each token to its arrival at the caller.
    gaps : list of float
        Seconds between two consecutive tokens of a response.
    complete : int
        Number of responses that were received completely.
    failed : int
        Number of responses whose connection was lost before they were complete.
    """

    delays: list[float] = attrs.field(factory=list)
    gaps: list[float] = attrs.field(factory=list)
    complete: int = 0
    failed: int = 0


class CallerProtocol(asyncio.Protocol):
    """
    One streamed completion over one connection.

    Parameters
    ----------
    length : int
        Number of tokens to request.
    result : LoadResult
        Receives the measurements.
    measuring : asyncio.Event
        Set while tokens are measured.
    """

    def __init__(self, length: int, result: LoadResult, measuring) -> None:
        self.length = length
        self.result = result
        self.measuring = measuring
        self.partial_line = b""
        self.last_arrival = 0.0
        self.complete = False
        self.ended = asyncio.get_running_loop().create_future()

    def connection_made(self, transport) -> None:
        """Send the request."""
        body = json.dumps(
            {
                "model": "lentil-12",
                "prompt": "explain the discrepancy in meter counts",
                "max_tokens": self.length,
                "stream": True,
            }
        ).encode()
        head = (
            "POST /v1/completions HTTP/1.1\r\nHost: router\r\nConnection: close\r\n"
            f"Authorization: Bearer {WORKSPACE_TOKEN}\r\n"
            "Content-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        transport.write(head.encode() + body)

    def data_received(self, data: bytes) -> None:
        """Record every token that has arrived."""
        now = time.monotonic_ns()
        text = self.partial_line + data
        # The line after the last newline is still incomplete.
        complete_lines, _, self.partial_line = text.rpartition(b"\n")
        self.complete |= b"[DONE]" in complete_lines
        for part in complete_lines.split(b'"text": "')[1:]:
            sent = part.partition(b" ")[0]
            if sent.isdigit():
                self.record_token(now, int(sent))

    def record_token(self, now: int, sent: int) -> None:
        """Record a token, given its times of arrival and emission in nanoseconds."""
        if self.measuring.is_set():
            self.result.delays.append((now - sent) / 1e9)
            if self.last_arrival:
                self.result.gaps.append(now / 1e9 - self.last_arrival)
        self.last_arrival = now / 1e9

    def connection_lost(self, error) -> None:
        """Count the response as complete or failed."""
        self.complete |= b"[DONE]" in self.partial_line
        if self.complete:
            self.result.complete += 1
        else:
            self.result.failed += 1
        if not self.ended.done():
            self.ended.set_result(None)


async def run_load(
    port: int,
    rate: float,
    length: int,
    warm_up: float,
    seconds: float,
    on_start=lambda: None,
    on_end=lambda: None,
) -> LoadResult:
    """
    Send requests at a constant rate, and wait up to 30 seconds for the responses.

    Parameters
    ----------
    port : int
        Port of the router.
    rate : float
        Requests per second.
    length : int
        Number of tokens of a response.
    warm_up : float
        Seconds of load before the measurement.
    seconds : float
        Duration of the measurement, in seconds.
    on_start, on_end : callable
        Called at the start and at the end of the measurement.

    Returns
    -------
    LoadResult
        Delays and gaps during the measurement, and numbers of responses including
        the warm-up; a response still open after the wait is not counted.
    """
    loop = asyncio.get_running_loop()
    result, measuring = LoadResult(), asyncio.Event()
    start = loop.time()
    calls: set[asyncio.Task] = set()
    for number in range(int(rate * (warm_up + seconds))):
        due = start + number / rate
        await asyncio.sleep(max(0.0, due - loop.time()))
        if not measuring.is_set() and loop.time() - start >= warm_up:
            measuring.set()
            on_start()
        call = asyncio.create_task(call_once(port, length, result, measuring))
        calls.add(call)
        call.add_done_callback(calls.discard)
    on_end()
    measuring.clear()
    await asyncio.wait(calls, timeout=30.0)
    return result


async def call_once(port: int, length: int, result: LoadResult, measuring) -> None:
    """Send one request and wait until its connection is closed."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(
        lambda: CallerProtocol(length, result, measuring), "127.0.0.1", port
    )
    await protocol.ended
