import asyncio
import unittest

from lentilhaven.gateway.caller_connection import IDLE_SLACK
from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    two_chains,
)
from lentilhaven.gateway.tests.raw_caller import RawCaller, raw_request
from lentilhaven.standins.platform.sample_files import (
    engine_entry,
    route_entry,
    routes_of_each_kind,
)

#: Seconds for which replicas are silent, longer than a gateway takes to read an edit.
SILENCE = 1.4

#: Seconds from a request to the edit, and within which a gateway has read it.
EDIT_DELAY, EDIT_TIME = 0.05, 0.5

#: Seconds for which a caller waits for an answer.
PATIENCE = 10.0

#: Time limit of the plain routes, in milliseconds; longer than the silence.
TIMEOUT_MS = 4_000

#: Time limit after an edit, in milliseconds; shorter than the silence.
SHORTER_MS = 1_000

#: Shortest idle limit, in milliseconds, for which connections are kept.
SHORT_IDLE_MS = 1_000

#: Body of each kind of request, by the name of its route; None for a GET request.
BODIES = {"look": None, "post": b"count 7", "draft": b"count 7", "once": b"count 7"}


def make_routes(**other):
    """Return a route of each kind whose time limit is longer than the silence."""
    routes = routes_of_each_kind()
    for route in routes:
        route["timeout_ms"] = max(route["timeout_ms"], TIMEOUT_MS)
        route |= other
    return routes


def make_manifest(version=1, idle_ms=30_000, body_bytes=1_000_000, **other):
    """Return a manifest with these routes, limits and other fields."""
    limits = {"max_body_bytes": body_bytes, "idle_timeout_ms": idle_ms}
    fields = {"routes": make_routes(), "limits": limits, **other}
    return sample_manifest(version, **fields)


def exchanged_routes():
    """Return the routes, each of which leads to the other service."""
    routes = make_routes()
    for route in routes:
        route["service"] = "stock" if route["service"] == "gen" else "gen"
    return routes


#: What an edit does to the routes of requests that wait.
EDITS = {
    "removed routes": {"routes": [route_entry("other", "safe", "stock")]},
    "other services": {"routes": exchanged_routes()},
    "shorter time limits": {"routes": make_routes(timeout_ms=SHORTER_MS)},
    "one attempt": {"routes": make_routes(attempts=1)},
    "no services": {"services": [], "routes": []},
    "other engines": {
        "services": [
            {"name": "gen", "engine": engine_entry(slots=1, step_ms=40.0)},
            {"name": "stock", "health_path": "/healthz", "max_connections": 1},
        ]
    },
    "other keys": {"tenants": [{"name": "depot", "api_keys": ["another-key"]}]},
    "lower limits": {"idle_ms": SHORT_IDLE_MS, "body_bytes": 1},
}


def silence_all(bed):
    """Let all replicas be silent from now on for `SILENCE` seconds."""
    until = asyncio.get_running_loop().time() + SILENCE
    for replica in bed.fleet.replicas.values():
        replica.faults.silent_until = until


def make_request(kind, request_id="x1"):
    """Return a request of a kind that ends after some events if it is a stream."""
    output = 80 if kind in ("draft", "once") else 0
    return raw_request(f"/{kind}/1", request_id, BODIES[kind], output)


class SilentReplicaTests(unittest.TestCase):
    """An edit must not end a request that waits for a replica."""

    def ask_beside(self, edit, kind, silent_from):
        """Return the answer to a request that waits while an edit comes into force."""

        async def scenario(bed):
            caller = await RawCaller.connect()
            if not silent_from:
                silence_all(bed)
            answer = asyncio.ensure_future(caller.ask(make_request(kind), PATIENCE))
            await asyncio.sleep(silent_from)
            if silent_from:
                silence_all(bed)
            await asyncio.sleep(EDIT_DELAY)
            bed.store.put("config", "main", make_manifest(2, **edit))
            await asyncio.sleep(EDIT_TIME)
            version = bed.gateways[0].view.manifest.version
            return answer.done(), version, await answer

        replicas = two_chains() + plain_replicas()
        return run_on_testbed(scenario, replicas, manifest=make_manifest())

    def check(self, kinds, silent_from=0.0):
        for kind in kinds:
            for name, edit in EDITS.items():
                with self.subTest(kind=kind, edit=name):
                    early, version, answer = self.ask_beside(edit, kind, silent_from)
                    self.assertEqual((early, version), (False, 2))
                    self.assertIsNotNone(answer)
                    self.assertEqual((answer.status, answer.complete), (200, True))

    def test_plain_request(self):
        self.check(["look", "post"])

    def test_stream_before_its_first_event(self):
        self.check(["draft", "once"])

    def test_stream_between_two_events(self):
        self.check(["draft", "once"], 0.2)


class ArrivingRequestTests(unittest.TestCase):
    """An edit must not drop a request of which a part has arrived."""

    def send_in_parts(self, edit, kind):
        """Return the answer to a request whose body ends after an edit."""

        async def scenario(bed):
            caller = await RawCaller.connect()
            request = make_request(kind)
            caller.writer.write(request[:-3])
            await asyncio.sleep(EDIT_DELAY)
            bed.store.put("config", "main", make_manifest(2, **edit))
            await asyncio.sleep(SHORT_IDLE_MS / 1000 + IDLE_SLACK + 1.5)
            return await caller.ask(request[-3:], PATIENCE)

        replicas = two_chains() + plain_replicas()
        manifest = make_manifest(idle_ms=SHORT_IDLE_MS)
        return run_on_testbed(scenario, replicas, manifest=manifest)

    def test_request_is_answered_or_refused(self):
        for kind in ("post", "draft"):
            for name, edit in EDITS.items():
                with self.subTest(kind=kind, edit=name):
                    answer = self.send_in_parts(edit, kind)
                    self.assertIsNotNone(answer)
                    self.assertTrue(answer.complete)
                    self.assertIn(answer.status, (200, 503))


class PipelinedRequestTests(unittest.TestCase):
    """An edit must not drop requests behind one that waits."""

    def ask_together(self, edit):
        """Return the answers to requests that were sent at once before an edit."""

        async def scenario(bed):
            caller = await RawCaller.connect()
            silence_all(bed)
            kinds = ("look", "draft", "post", "look")
            requests = [make_request(it, f"x{n}") for n, it in enumerate(kinds)]
            caller.writer.write(b"".join(requests))
            await asyncio.sleep(EDIT_DELAY)
            bed.store.put("config", "main", make_manifest(2, **edit))
            return [await caller.read_answer(PATIENCE) for _ in requests]

        replicas = two_chains() + plain_replicas()
        return run_on_testbed(scenario, replicas, manifest=make_manifest())

    def test_all_requests_are_answered_or_refused(self):
        for name, edit in {**EDITS, "closing": {"idle_ms": 999}}.items():
            with self.subTest(edit=name):
                answers = self.ask_together(edit)
                self.assertNotIn(None, answers)
                self.assertTrue(all(answer.complete for answer in answers))


class ShorteningTests(unittest.TestCase):
    """Two edits in a row that shorten the idle time must keep older promises."""

    def test_each_connection_keeps_what_its_last_answer_stated(self):
        async def scenario(bed):
            callers, stated = [], []
            for version, idle_ms in enumerate((30_000, 8_000, 1_000), 1):
                bed.store.put("config", "main", make_manifest(version, idle_ms))
                await asyncio.sleep(EDIT_TIME)
                caller = await RawCaller.connect()
                stated.append((await caller.ask(make_request("look"))).idle_time)
                callers.append(caller)
            await asyncio.sleep(0.95)
            answers = []
            for caller, seconds in zip(
                reversed(callers), (0.0, 6.5, 21.0), strict=True
            ):
                await asyncio.sleep(seconds)
                answers.append(await caller.ask(make_request("post")))
            return stated, answers

        stated, answers = run_on_testbed(scenario, plain_replicas())
        self.assertEqual(stated, [30.0, 8.0, 1.0])
        self.assertNotIn(None, answers)
        self.assertEqual([answer.status for answer in answers], [200] * 3)
