"""Sends random requests to every listener and checks the responses."""

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
from lentilhaven.router.router_state import operator_source
from lentilhaven.serving.limited_server import serve_with_limits
from lentilhaven.serving.metrics import make_metrics
from lentilhaven.serving.operators_app import operators_app
from lentilhaven.serving.server_limits import ServerLimits
from lentilhaven.testbed import Testbed, TestbedPlan, open_testbed
from lentilhaven.testbed.tokens import CLUSTER_TOKEN, WORKSPACE_TOKEN

OPERATOR_TOKEN = "operator-token-of-the-fuzz"

#: Longest wait for a response, in seconds of virtual time.
RESPONSE_TIMEOUT = 4.0

#: First line of a Python traceback.
TRACEBACK_HEADER = b"Traceback (most recent call last)"

#: Virtual port of the first listener; the others use the next ports.
FIRST_PORT = 30_000

LIMITS = ServerLimits(head_timeout=1.0, body_timeout=1.0, idle_timeout=2.0)

CLAIM = {"workspace": "depot", "route": "stock", "key": "k", "fingerprint": "f"}
HEARTBEAT = {"vm": "vm-1", "incarnation": 1, "tables": 1}


@attrs.frozen
class FuzzedListener:
    """
    A listener and the requests that it accepts.

    Attributes
    ----------
    url : str
        URL of the listener.
    token : str
        A valid bearer token.
    paths : list of str
        Paths to request.
    seeds : list
        Valid JSON bodies, which are mutated.
    """

    url: str
    token: str
    paths: list[str]
    seeds: list


@attrs.frozen
class FuzzedRequest:
    """
    A random request.

    Attributes
    ----------
    method, path : str
        Method and path of the request line.
    headers : list of (str, str)
        Header fields by name and value.
    body : bytes
        Message body.
    raw : bytes
        Bytes to send instead of an HTTP request; empty to send the request.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    raw: bytes

    def encode(self) -> bytes:
        """Return the bytes to send to the listener."""
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
    suffix = st.sampled_from(
        ["", "", "/x", "?after=1&timeout=0", "?a=%ff", "%00", "/.."]
    )
    names = ["Idempotency-Key", "traceparent", "Accept", "Connection", "X-A", "Expect"]
    token = draw(st.sampled_from([listener.token] * 8 + ["", "wrong", "\xff"]))
    pairs = st.tuples(st.sampled_from(names), header_values)
    headers = draw(st.lists(pairs, max_size=3))
    raw = draw(st.one_of(st.just(b""), st.just(b""), st.just(b""), st.binary()))
    return FuzzedRequest(
        method=draw(st.sampled_from(methods[:2] * 4 + methods)),
        path=path + draw(suffix),
        headers=[("Authorization", f"Bearer {token}"), *headers],
        body=draw(mutated_texts(listener.seeds)),
        raw=raw,
    )


async def send_and_check(listener: FuzzedListener, request: FuzzedRequest) -> str:
    """
    Send a request; return the error in its response, or an empty string.

    A timeout or a broken connection is no error.

    Parameters
    ----------
    listener : FuzzedListener
        Listener that receives the request.
    request : FuzzedRequest
        Request to send.
    """
    address = urlsplit(listener.url)
    reader, writer = await asyncio.open_connection(address.hostname, address.port)
    try:
        writer.write(request.encode())
        async with asyncio.timeout(RESPONSE_TIMEOUT):
            response = await reader.read()
    except (TimeoutError, ConnectionError):
        return ""
    finally:
        writer.close()
    return check_response(response, request.encode())


def check_response(response: bytes, sent: bytes) -> str:
    """
    Return the error in a response, or an empty string.

    An empty response is valid, because a listener may close the connection.  A
    traceback that is copied from the request is valid too.

    Parameters
    ----------
    response : bytes
        All bytes received.
    sent : bytes
        Bytes of the request.

    Examples
    --------
    >>> check_response(b"", b""), check_response(b"HTTP/1.1 200 OK", b"GET")
    ('', '')
    >>> check_response(b"HTTP/1.1 500 Internal Server Error", b"GET")
    'status 500'
    """
    if not response:
        return ""
    words = response.split(b" ", 2)
    if not response.startswith(b"HTTP/1.") or len(words) < 2:
        return f"no HTTP: {response[:40]!r}"
    if TRACEBACK_HEADER in response and TRACEBACK_HEADER not in sent:
        return "a traceback"
    return "status 500" if words[1] == b"500" else ""


@asynccontextmanager
async def open_listeners(seed: int) -> AsyncIterator[list[FuzzedListener]]:
    """
    Start a testbed in virtual time and yield its listeners.

    Parameters
    ----------
    seed : int
        Seed of the testbed.
    """
    plan = TestbedPlan(seed=seed, replica_count=1, decode_time=0.001)
    async with open_testbed(plan) as testbed:
        vm = testbed.vms[0]
        metrics = make_metrics("fuzz", "vm-1", "mty-a")
        hashes = frozenset({token_hash(OPERATOR_TOKEN)})
        router = operator_source(vm.router, metrics, ignore_drain)
        agent = agent_source(vm.agent, metrics, ignore_drain)
        async with (
            serve_on_port(0, router_app(vm.router, metrics)) as caller_url,
            serve_on_port(1, operators_app(router, hashes)) as router_operator_url,
            serve_on_port(2, operators_app(agent, hashes)) as agent_operator_url,
            serve_on_port(3, agent_app(vm.agent, CLUSTER_TOKEN)) as agent_url,
        ):
            yield [
                caller_listener(testbed, caller_url),
                operator_listener(router_operator_url),
                operator_listener(agent_operator_url),
                agent_listener(agent_url),
            ]


def ignore_drain() -> None:
    """Ignore a request to drain, which would stop the process under test."""


def serve_on_port(offset: int, app: Any):
    """Serve an application on the virtual port `FIRST_PORT` plus an offset."""
    return serve_with_limits(app, "127.0.0.1", FIRST_PORT + offset, LIMITS)


def caller_listener(testbed: Testbed, url: str) -> FuzzedListener:
    """Return the router's listener for callers."""
    model = testbed.plan.model
    seeds: list = [COMPLETION | {"model": model}, CHAT | {"model": model}, {}]
    paths = ["/v1/completions", "/v1/chat/completions", "/v1/models"]
    paths += ["/services/stock/items", "/services/absent", "/healthz", "/readyz", "/"]
    return FuzzedListener(url, WORKSPACE_TOKEN, paths, seeds)


def operator_listener(url: str) -> FuzzedListener:
    """Return a listener for operators."""
    paths = ["/status", "/debug/state", "/metrics", "/drain", "/explain", "/"]
    seeds = [{"workspace": "depot", "model": "lentil-12", "prompt": "a"}]
    seeds.append({"workspace": "depot", "service": "stock", "path": "/items"})
    return FuzzedListener(url, OPERATOR_TOKEN, paths, seeds)


def agent_listener(url: str) -> FuzzedListener:
    """Return the agent's listener for routers and other agents."""
    claim = CLAIM | {"request": "r"}
    settlement = {"claim": claim, "outcome": "done", "response": None}
    paths = ["/view", "/claims", "/settlements", "/readyz", "/peer/state", "/status"]
    paths += ["/peer/parts/x", "/peer/heartbeat", "/peer/facts"]
    paths += ["/journal/claims", "/journal/settlements"]
    seeds = [claim, settlement, HEARTBEAT, {"facts": []}]
    return FuzzedListener(url, CLUSTER_TOKEN, paths, seeds)


def describe_request(request: FuzzedRequest) -> str:
    """Return a request as one line for an error report, cut at 2000 characters."""
    return json.dumps(request.encode().decode("latin-1"))[:2000]
