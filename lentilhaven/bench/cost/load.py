"""A cheap load of streamed completions."""

import asyncio
import json
import time

import attrs

from lentilhaven.bench.cost.emitter import TOKEN


@attrs.define
class LoadResult:
    """
    What the callers saw.

    Attributes
    ----------
    delays : list of float
        Seconds from the emission of each token to its arrival.
    gaps : list of float
        Seconds between two tokens of an answer.
    complete : int
        Answers that came to their end.
    failed : int
        Answers that did not.
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
        Tokens to ask for.
    result : LoadResult
        Where to put what is seen.
    measuring : asyncio.Event
        Set while what is seen counts.
    """

    def __init__(self, length: int, result: LoadResult, measuring) -> None:
        self.length = length
        self.result = result
        self.measuring = measuring
        self.rest = b""
        self.last = 0.0
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
            f"Authorization: Bearer {TOKEN}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        transport.write(head.encode() + body)

    def data_received(self, data: bytes) -> None:
        """Measure every token that has arrived."""
        now = time.monotonic_ns()
        text = self.rest + data
        # What follows the last newline is not complete yet.
        whole, _, self.rest = text.rpartition(b"\n")
        self.complete |= b"[DONE]" in whole
        for part in whole.split(b'"text": "')[1:]:
            sent = part.partition(b" ")[0]
            if sent.isdigit():
                self.note(now, int(sent))

    def note(self, now: int, sent: int) -> None:
        """Take one token."""
        if self.measuring.is_set():
            self.result.delays.append((now - sent) / 1e9)
            if self.last:
                self.result.gaps.append(now / 1e9 - self.last)
        self.last = now / 1e9

    def connection_lost(self, error) -> None:
        """Count how the answer ended."""
        self.complete |= b"[DONE]" in self.rest
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
    Ask for answers at an even rate.

    Parameters
    ----------
    port : int
        Port of the router.
    rate : float
        Requests a second.
    length : int
        Tokens of an answer.
    warm_up : float
        Seconds of load before measuring.
    seconds : float
        Seconds of measuring.
    on_start, on_end : callable
        Called at the start and at the end of measuring.
    """
    loop = asyncio.get_running_loop()
    result, measuring = LoadResult(), asyncio.Event()
    began = loop.time()
    calls: set[asyncio.Task] = set()
    for number in range(int(rate * (warm_up + seconds))):
        due = began + number / rate
        await asyncio.sleep(max(0.0, due - loop.time()))
        if not measuring.is_set() and loop.time() - began >= warm_up:
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
    """Ask for one answer and wait for its end."""
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_connection(
        lambda: CallerProtocol(length, result, measuring), "127.0.0.1", port
    )
    await protocol.ended
