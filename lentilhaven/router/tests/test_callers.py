"""Tests of the callers' listener over real loopback sockets."""

import asyncio
import json
import unittest
from contextlib import asynccontextmanager

import attrs
import openai

from lentilhaven.router.router_api import router_app
from lentilhaven.serving.limited_server import serve_with_limits
from lentilhaven.serving.server_limits import ServerLimits
from lentilhaven.testbed import TestbedPlan, open_testbed
from lentilhaven.testbed.tokens import WORKSPACE_TOKEN

LIMITS = ServerLimits(max_connections=8, head_timeout=0.3, body_timeout=0.3)


@asynccontextmanager
async def open_listener(limits=LIMITS, replica_count=1):
    plan = TestbedPlan(virtual=False, replica_count=replica_count)
    async with open_testbed(plan) as testbed:
        router = testbed.vms[0].router
        router.settings = attrs.evolve(router.settings, limits=limits)
        async with serve_with_limits(
            router_app(router), "127.0.0.1", 0, limits=limits
        ) as url:
            yield testbed, url


async def send_raw(url, payload, wait=2.0):
    """Send bytes on a new connection and return everything received."""
    host, _, port = url.removeprefix("http://").partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(payload)
        async with asyncio.timeout(wait):
            return await reader.read()
    finally:
        writer.close()


def request_head(*lines, token=WORKSPACE_TOKEN):
    fields = ["Host: x", f"Authorization: Bearer {token}", "Connection: close"]
    return "\r\n".join([lines[0], *fields, *lines[1:], "", ""]).encode()


def post_request(path, body, *lines):
    length = f"Content-Length: {len(body)}"
    return request_head(f"POST {path} HTTP/1.1", length, *lines) + body


def parse_problem(reply):
    response_head, _, body = reply.partition(b"\r\n\r\n")
    status = int(response_head.split(b" ")[1])
    return status, json.loads(body), response_head.decode().lower()


DEEP_NESTING = b"[" * 100_000

BAD_BODIES = {
    "utf-8": b'{"model": "\xff"}',
    "deep": b'{"model": "lentil-12", "prompt": ' + DEEP_NESTING,
    "nan": b'{"model": "lentil-12", "prompt": "a", "temperature": NaN}',
    "huge": b'{"model": "lentil-12", "prompt": "a", "max_tokens": ' + b"9" * 5000,
    "infinite": b'{"model": "lentil-12", "prompt": "a", "temperature": 1e999}',
    "surrogate": b'{"model": "lentil-12", "prompt": "\\ud800"}',
    "unknown": b'{"model": "lentil-12", "prompt": "a", "max_token": 5}',
    "stop": b'{"model": "lentil-12", "prompt": "a", "stop": ["."]}',
    "list": b"[]",
    "empty": b"",
    "bool": b'{"model": "lentil-12", "prompt": "a", "max_tokens": true}',
}


class CallerErrorTests(unittest.IsolatedAsyncioTestCase):
    async def test_bad_bodies_get_a_problem_document(self):
        async with open_listener() as (_, url):
            for name, body in BAD_BODIES.items():
                with self.subTest(name):
                    reply = await send_raw(url, post_request("/v1/completions", body))
                    status, problem, response_head = parse_problem(reply)
                    self.assertEqual(status, 400, problem)
                    self.assertEqual(
                        problem["type"], "urn:lentilhaven:problem:bad-request"
                    )
                    self.assertEqual((problem["ran"], problem["step"]), ("no", "parse"))
                    self.assertIn("application/problem+json", response_head)
                    self.assertIn("x-request-id", response_head)

    async def test_requests_that_no_handler_sees(self):
        long_header = "X-Long: " + "a" * 10_000
        many_headers = [f"X-{index}: 1" for index in range(200)]
        cases = {
            "garbage": (b"\x16\x03\x01garbage\r\n\r\n", 400),
            "long": (request_head("GET /v1/models HTTP/1.1", long_header), 431),
            "many": (request_head("GET /v1/models HTTP/1.1", *many_headers), 431),
            # Non-ASCII header value; found by the fuzz scenario with seed 1.
            "bytes": (
                request_head("GET /v1/models HTTP/1.1", "Expect: x").replace(
                    b": x", b": \x80"
                ),
                400,
            ),
            "expect": (request_head("GET /v1/models HTTP/1.1", "Expect: cake"), 417),
            "path": (request_head("GET /nothing HTTP/1.1"), 404),
            "method": (request_head("DELETE /v1/models HTTP/1.1"), 405),
            "token": (request_head("GET /v1/models HTTP/1.1", token="\xff"), 401),
            "model": (
                post_request("/v1/completions", b'{"model":"x","prompt":"a"}'),
                404,
            ),
            "large": (post_request("/v1/completions", b"a" * 1_000_001), 413),
            "chunk": (
                request_head(
                    "POST /v1/completions HTTP/1.1", "Transfer-Encoding: chunked"
                )
                + b"zz\r\n",
                400,
            ),
        }
        async with open_listener() as (_, url):
            for name, (payload, expected) in cases.items():
                with self.subTest(name):
                    status, problem, _ = parse_problem(await send_raw(url, payload))
                    self.assertEqual(status, expected, problem)
                    self.assertEqual(problem["ran"], "no")

    async def test_keys_that_are_malformed(self):
        async with open_listener() as (testbed, url):
            for key in ("a b", "x" * 300, '"half', "\x01"):
                line = f"Idempotency-Key: {key}"
                reply = await send_raw(
                    url, post_request("/services/stock/p", b"", line)
                )
                status, problem, _ = parse_problem(reply)
                self.assertEqual(status, 400, problem)
            self.assertEqual(sum(it.calls for it in service_calls(testbed)), 0)

    async def test_a_defect_is_a_500_without_traceback(self):
        async with open_listener() as (testbed, url):
            testbed.vms[0].router.view = None
            reply = await send_raw(url, request_head("GET /v1/models HTTP/1.1"))
            status, problem, _ = parse_problem(reply)
        self.assertEqual((status, problem["ran"]), (500, "unknown"))
        self.assertNotIn(b"Traceback", reply)


def service_calls(testbed):
    return [CallCount(sum(it.runs.values())) for it in testbed.services.values()]


@attrs.frozen
class CallCount:
    calls: int


class SlowSenderTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_connection_is_closed(self):
        async with open_listener() as (_, url):
            for start in (b"", b"\r\n\r\n", b"GET /v1/models HTTP/1.1\r\nHost"):
                status, problem, _ = parse_problem(await send_raw(url, start))
                self.assertEqual((status, problem["ran"]), (408, "no"))

    async def test_a_body_that_stalls_is_refused(self):
        payload = (
            request_head("POST /v1/completions HTTP/1.1", "Content-Length: 10") + b"{"
        )
        async with open_listener() as (_, url):
            status, problem, _ = parse_problem(await send_raw(url, payload))
        self.assertEqual((status, problem["step"]), (408, "parse"))

    async def test_connections_are_counted(self):
        async with open_listener(attrs.evolve(LIMITS, head_timeout=5)) as (_, url):
            host, _, port = url.removeprefix("http://").partition(":")
            open_connections = [
                await asyncio.open_connection(host, int(port)) for _ in range(8)
            ]
            reply = await send_raw(url, request_head("GET /v1/models HTTP/1.1"))
            status, problem, response_head = parse_problem(reply)
            self.assertEqual((status, problem["ran"]), (503, "no"))
            self.assertIn("retry-after", response_head)
            for _, writer in open_connections:
                writer.close()
                await writer.wait_closed()
            reply = await send_raw(url, request_head("GET /v1/models HTTP/1.1"))
            self.assertIn(b"200 OK", reply)


class OpenAiClientTests(unittest.IsolatedAsyncioTestCase):
    async def test_the_usual_client_library_works_unchanged(self):
        async with open_listener(replica_count=2) as (_, url):
            # The library imports many modules on first use.  In a thread, this does
            # not block the engines and the router that run in this process.
            await asyncio.to_thread(self.check_client, url)

    def check_client(self, url):
        with openai.OpenAI(
            base_url=f"{url}/v1", api_key=WORKSPACE_TOKEN, max_retries=0
        ) as client:
            self.assertEqual([it.id for it in client.models.list()], ["lentil-12"])
            self.check_completions(client)
            self.check_errors(client)

    def check_completions(self, client):
        parameters = {"model": "lentil-12", "max_tokens": 5}
        messages = [{"role": "user", "content": "count the meters"}]
        chat = client.chat.completions.create(messages=messages, **parameters)
        text = chat.choices[0].message.content
        self.assertEqual(chat.usage.completion_tokens, 5)
        stream = client.chat.completions.create(
            messages=messages, stream=True, **parameters
        )
        parts = [chunk.choices[0].delta.content for chunk in stream]
        self.assertEqual("".join(filter(None, parts)), text)
        plain = client.completions.create(prompt="count the meters", **parameters)
        self.assertTrue(plain.choices[0].text)

    def check_errors(self, client):
        with self.assertRaises(openai.NotFoundError) as caught:
            client.completions.create(model="absent", prompt="a")
        self.assertEqual(caught.exception.body["type"], "unknown-model")
        with self.assertRaises(openai.AuthenticationError):
            client.with_options(api_key="wrong").models.list()


class AuthenticationTests(unittest.TestCase):
    def test_the_index_is_built_once_for_a_version(self):
        from lentilhaven.core.hashing import token_hash
        from lentilhaven.router.authentication import WorkspaceIndex
        from lentilhaven.tables import Tables, Workspace

        workspaces = [Workspace(f"w{n}", [token_hash(f"t{n}")]) for n in range(20_000)]
        tables = Tables(workspaces=workspaces, version=1)
        index = WorkspaceIndex()
        self.assertEqual(index.authenticate(tables, "Bearer t19999").ok.id, "w19999")
        first_index = index.table_index
        same_version = attrs.evolve(tables)
        self.assertTrue(index.authenticate(same_version, "Bearer x").is_error())
        self.assertIs(index.table_index, first_index)
        newer = attrs.evolve(tables, workspaces=workspaces[:1], version=2)
        self.assertTrue(index.authenticate(newer, "Bearer t19999").is_error())
