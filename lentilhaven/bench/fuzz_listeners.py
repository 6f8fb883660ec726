"""Sends random requests to every listener and judges the answers."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import urlsplit

import attrs
from hypothesis import strategies as st

from lentilhaven.agent.agent_api import agent_app
from lentilhaven.agent.agent_state import agent_source
from lentilhaven.bench.fuzz_inputs import header_values, mutated_texts
from lentilhaven.bench.fuzz_parsers import CHAT, COMPLETION
from lentilhaven.core.hashing import token_hash
from lentilhaven.router.router_api import router_app
from lentilhaven.router.router_state import router_source
from lentilhaven.serving.guarded_serving import serve_guarded
from lentilhaven.serving.metrics import make_metrics
from lentilhaven.serving.operators_app import operators_app
from lentilhaven.serving.server_limits import ServerLimits
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.tokens import CLUSTER_TOKEN, WORKSPACE_TOKEN

OPERATOR_TOKEN = "operator-token-of-the-fuzz"

#: Seconds of virtual time after which an answer is no longer waited for.
ANSWER_TIMEOUT = 4.0

#: How a traceback begins.
TRACEBACK = b"Traceback (most recent call last)"

#: Port of the first fuzzed listener in virtual time.
FIRST_PORT = 30_000

LIMITS = ServerLimits(head_timeout=1.0, body_timeout=1.0, idle_timeout=2.0)

CLAIM = {"workspace": "depot", "route": "stock", "key": "k", "fingerprint": "f"}
HEARTBEAT = {"vm": "vm-1", "incarnation": 1, "tables": 1}


@attrs.frozen
class FuzzedListener:
    """
    A listener and what it answers.

    Attributes
    ----------
    url : str
        Where it listens.
    token : str
        The token that belongs there.
    paths : list of str
        Its paths.
    seeds : list
        Bodies to start from.
    """

    url: str
    token: str
    paths: list[str]
    seeds: list


@attrs.frozen
class FuzzedRequest:
    """
    One request.

    Attributes
    ----------
    method, path : str
        Its first line.
    headers : list of (str, str)
        Its header fields.
    body : bytes
        Its body.
    raw : bytes
        Bytes sent in place of all this; empty to send a request.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    raw: bytes

    def encode(self) -> bytes:
        """Return the bytes to send."""
        if self.raw:
            return self.raw
        lines = [f"{self.method} {self.path} HTTP/1.1", "Host: fuzz"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines += [f"Content-Length: {len(self.body)}", "Connection: close", "", ""]
        head = "\r\n".join(lines).encode("latin-1", errors="replace")
        return head + self.body


@st.composite
def requests_to(draw, listener: FuzzedListener) -> FuzzedRequest:
    """Draw a request to a listener."""
    methods = ["GET", "POST", "PUT", "DELETE", "HEAD", "OPTIONS", "BREW"]
    path = draw(st.sampled_from(listener.paths))
    tail = st.sampled_from(["", "", "/x", "?after=1&timeout=0", "?a=%ff", "%00", "/.."])
    names = ["Idempotency-Key", "traceparent", "Accept", "Connection", "X-A", "Expect"]
    token = draw(st.sampled_from([listener.token] * 8 + ["", "wrong", "\xff"]))
    pairs = st.tuples(st.sampled_from(names), header_values)
    headers = draw(st.lists(pairs, max_size=3))
    raw = draw(st.one_of(st.just(b""), st.just(b""), st.just(b""), st.binary()))
    return FuzzedRequest(
        method=draw(st.sampled_from(methods[:2] * 4 + methods)),
        path=path + draw(tail),
        headers=[("Authorization", f"Bearer {token}"), *headers],
        body=draw(mutated_texts(listener.seeds)),
        raw=raw,
    )


async def judge_request(listener: FuzzedListener, request: FuzzedRequest) -> str:
    """
    Send a request; return what is wrong with the answer, or an empty string.

    Parameters
    ----------
    listener : FuzzedListener
        Where to send it.
    request : FuzzedRequest
        What to send.
    """
    address = urlsplit(listener.url)
    reader, writer = await asyncio.open_connection(address.hostname, address.port)
    try:
        writer.write(request.encode())
        async with asyncio.timeout(ANSWER_TIMEOUT):
            answer = await reader.read()
    except (TimeoutError, ConnectionError):
        return ""
    finally:
        writer.close()
    return judge_answer(answer, request.encode())


def judge_answer(answer: bytes, sent: bytes) -> str:
    """
    Return what is wrong with an answer, or an empty string.

    A connection that is closed without an answer is in order, and so is an
    answer that quotes its request.

    Parameters
    ----------
    answer : bytes
        All that came back.
    sent : bytes
        The request.

    Examples
    --------
    >>> judge_answer(b"", b""), judge_answer(b"HTTP/1.1 200 OK", b"GET")
    ('', '')
    >>> judge_answer(b"HTTP/1.1 500 Internal Server Error", b"GET")
    'status 500'
    """
    if not answer:
        return ""
    words = answer.split(b" ", 2)
    if not answer.startswith(b"HTTP/1.") or len(words) < 2:
        return f"no HTTP: {answer[:40]!r}"
    if TRACEBACK in answer and TRACEBACK not in sent:
        return "a traceback"
    return "status 500" if words[1] == b"500" else ""


@asynccontextmanager
async def open_listeners(seed: int) -> AsyncIterator[list[FuzzedListener]]:
    """
    Start a system in virtual time and yield its listeners.

    Parameters
    ----------
    seed : int
        Seed of the system.
    """
    plan = TestbedPlan(seed=seed, replica_count=1, decode_time=0.001)
    async with open_testbed(plan) as testbed:
        vm = testbed.vms[0]
        metrics = make_metrics("fuzz", "vm-1", "mty-a")
        hashes = frozenset({token_hash(OPERATOR_TOKEN)})
        router = router_source(vm.router, metrics, no_drain)
        agent = agent_source(vm.agent, metrics, no_drain)
        async with (
            serve_at(0, router_app(vm.router, metrics)) as callers,
            serve_at(1, operators_app(router, hashes)) as of_router,
            serve_at(2, operators_app(agent, hashes)) as of_agent,
            serve_at(3, agent_app(vm.agent, CLUSTER_TOKEN)) as processes,
        ):
            yield [
                callers_of(testbed, callers),
                operators_of(of_router),
                operators_of(of_agent),
                processes_of(processes),
            ]


def no_drain() -> None:
    """Ignore an order to drain, so that the run goes on."""


def serve_at(number: int, app: Any):
    """Serve an application at a port of its own."""
    return serve_guarded(app, "127.0.0.1", FIRST_PORT + number, LIMITS)


def callers_of(testbed: Testbed, url: str) -> FuzzedListener:
    """Return the callers' listener."""
    model = testbed.plan.model
    seeds: list = [COMPLETION | {"model": model}, CHAT | {"model": model}, {}]
    paths = ["/v1/completions", "/v1/chat/completions", "/v1/models"]
    paths += ["/services/stock/items", "/services/absent", "/healthz", "/readyz", "/"]
    return FuzzedListener(url, WORKSPACE_TOKEN, paths, seeds)


def operators_of(url: str) -> FuzzedListener:
    """Return an operators' listener."""
    paths = ["/status", "/debug/state", "/metrics", "/drain", "/explain", "/"]
    seeds = [{"workspace": "depot", "model": "lentil-12", "prompt": "a"}]
    seeds.append({"workspace": "depot", "service": "stock", "path": "/items"})
    return FuzzedListener(url, OPERATOR_TOKEN, paths, seeds)


def processes_of(url: str) -> FuzzedListener:
    """Return an agent's listener for the other processes."""
    claim = CLAIM | {"request": "r"}
    settlement = {"claim": claim, "outcome": "done", "response": None}
    paths = ["/view", "/claims", "/settlements", "/readyz", "/peer/state", "/status"]
    paths += ["/peer/parts/x", "/peer/heartbeat", "/peer/facts"]
    paths += ["/journal/claims", "/journal/settlements"]
    seeds = [claim, settlement, HEARTBEAT, {"facts": []}]
    return FuzzedListener(url, CLUSTER_TOKEN, paths, seeds)


def describe_request(request: FuzzedRequest) -> str:
    """Return a request as one line, for the report of a finding."""
    return json.dumps(request.encode().decode("latin-1"))[:2000]
