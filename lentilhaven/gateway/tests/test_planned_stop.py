"""Gateways as processes that get SIGTERM in calm, with the bytes that callers get."""

import asyncio
import functools
import tempfile
import unittest
from pathlib import Path

import attrs

from lentilhaven.bench.soak.soak_environment import open_environment
from lentilhaven.bench.soak.soak_tables import soak_manifest
from lentilhaven.draining.stop_schedule import ACCEPT_TIME
from lentilhaven.gateway.tests.raw_caller import RawCaller, raw_request
from lentilhaven.standins.platform.cut_links import Cut

#: Seconds of the routes' timeouts: longer than the grace period.
ROUTE_TIMEOUT = 30.0

#: Seconds after SIGTERM at which a request arrives that is still taken, at which one is
#: refused, and shortly before the end.
EARLY, LATE, LAST = 1.5, 4.0, 6.6

#: Seconds of work that ends before the process does, and of work that does not; the
#: latter is a pause within a stream too.
SHORT_WORK, LONG_WORK = 1.5, 20.0

#: Seconds by which an answer may come late on a busy machine.
SLACK = 1.0

BODY = b"count 7"


@attrs.frozen
class StopCase:
    """
    A request to a gateway that stops.

    Attributes
    ----------
    path : str
        Target of the request.
    sent_at, body_at : float
        Seconds after SIGTERM at which it is sent, and the rest of its body.
    output : int
        Number of tokens to generate; 0 without a stream.
    """

    path: str
    sent_at: float
    body_at: float = 0.0
    output: int = 0


#: Requests beside a stop, by name, if the work of plain replicas is short.
SHORT_CASES = {
    "post": StopCase("/post/0", EARLY),
    "post, body late": StopCase("/post/1", EARLY, LATE),
    "post, body at the end": StopCase("/post/2", EARLY, LAST),
    "look, body late": StopCase("/look/1", EARLY, LATE),
    "stream": StopCase("/once/0", EARLY, output=40),
    "stream, body late": StopCase("/once/1", EARLY, LATE, 40),
    "long stream": StopCase("/once/2", EARLY, output=4000),
}

#: The same if all work is long.
LONG_CASES = {
    "post": StopCase("/post/0", 0.0),
    "late post": StopCase("/post/1", EARLY),
    "look": StopCase("/look/0", 0.0),
    "stream": StopCase("/once/0", 0.0, output=40),
}


@attrs.define
class StopResult:
    """
    What became of a request.

    Attributes
    ----------
    status : int or None
        Status of the answer; None if the connection ended without one.
    complete : bool
        Whether the whole answer has arrived.
    at : float
        Seconds after SIGTERM at which the answer had arrived, or the end.
    runs : int
        How often the request has run.
    """

    status: int | None
    complete: bool
    at: float
    runs: int = 0


async def ask(address, case, name):
    """Send the request of a case, and return the result, without its runs."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    request = raw_request(case.path, name, BODY, case.output, ROUTE_TIMEOUT)
    held_back = len(BODY) if case.body_at else 0
    await asyncio.sleep(case.sent_at)
    host, _, port = address.rpartition(":")
    caller = await RawCaller.connect(int(port), host)
    try:
        caller.writer.write(request[: len(request) - held_back])
        reading = asyncio.ensure_future(caller.read_answer(ROUTE_TIMEOUT))
        if held_back:
            await asyncio.wait([reading], timeout=case.body_at - case.sent_at)
            caller.writer.write(request[-held_back:])
        answer = await reading
        took = loop.time() - began
        if answer is None:
            return StopResult(None, False, took)
        return StopResult(answer.status, answer.complete, took)
    finally:
        caller.writer.close()


def patient_manifest():
    """Return a manifest whose routes allow requests longer than the grace period."""
    manifest = soak_manifest(2)
    for route in manifest["routes"]:
        route["timeout_ms"] = int(ROUTE_TIMEOUT * 1000)
    return manifest


async def stop_beside(cases, plain_work, pause, folder):
    """Stop a gateway beside the requests of some cases; return its exit status too."""
    async with open_environment(1, 1, folder) as environment:
        (gateway,) = environment.gateways
        environment.store.put("config", "main", patient_manifest())
        address = gateway.decoded_settings.callers
        # Layers are loaded once a gateway holds the placement lease.
        first_stream = StopCase("/once/first", 0.1, output=4)
        while (await ask(address, first_stream, "first")).status != 200:
            pass
        for replica in environment.fleet.replicas.values():
            replica.faults.delay = pause if replica.card else plain_work
        asks = [ask(address, case, name) for name, case in cases.items()]
        *results, _ = await asyncio.gather(*asks, gateway.stop())
        found = dict(zip(cases, results, strict=True))
        for run in environment.fleet.runs:
            if run.request_id in found:
                found[run.request_id].runs += 1
        return found, gateway.process.returncode


@functools.cache
def play_stop(has_long_work):
    """Return the results of `stop_beside` with short or long work."""
    cases, work, pause = SHORT_CASES, SHORT_WORK, 0.0
    if has_long_work:
        cases, work, pause = LONG_CASES, LONG_WORK, LONG_WORK
    with tempfile.TemporaryDirectory(prefix="planned-stop-") as folder:
        return asyncio.run(stop_beside(cases, work, pause, Path(folder)))


class LateBodyTests(unittest.TestCase):
    """Guards against passing on, until the end of a stop, what was begun before it."""

    def test_requests_without_their_bodies_are_refused_in_time(self):
        results, _ = play_stop(has_long_work=False)
        for name, case in SHORT_CASES.items():
            if case.body_at:
                found = results[name]
                with self.subTest(name):
                    self.assertEqual((found.status, found.runs), (503, 0))
                    self.assertLess(found.at, ACCEPT_TIME + SLACK)

    def test_requests_with_their_bodies_are_served(self):
        results, exit_status = play_stop(has_long_work=False)
        for name in ("post", "stream"):
            with self.subTest(name):
                found = results[name]
                self.assertEqual((found.status, found.complete), (200, True))
        self.assertEqual(exit_status, 0)


class LongStreamTests(unittest.TestCase):
    """Guards against streams that a stopping gateway takes and cuts off."""

    def test_stream_that_can_not_end_in_time_is_refused(self):
        found = play_stop(has_long_work=False)[0]["long stream"]
        self.assertEqual((found.status, found.runs), (503, 0))
        self.assertLess(found.at, EARLY + SLACK)


class LongWorkTests(unittest.TestCase):
    """Guards against connections that close without an answer at the end of a stop."""

    def test_requests_that_have_not_ended_are_answered(self):
        results, exit_status = play_stop(has_long_work=True)
        for name in ("post", "late post", "look"):
            with self.subTest(name):
                found = results[name]
                self.assertEqual((found.status, found.complete), (502, True))
                self.assertGreater(found.runs, 0)
        self.assertEqual(exit_status, 0)

    def test_stream_that_has_begun_does_not_look_complete(self):
        found = play_stop(has_long_work=True)[0]["stream"]
        self.assertEqual((found.status, found.complete), (200, False))


class TunnelTests(unittest.TestCase):
    """Guards against requests of other gateways that end with a stopping one."""

    #: Seconds of the work on each request, and number of callers that send them.
    WORK, CALLERS = 0.3, 4

    async def play(self, folder):
        """
        Stop a gateway through which another one reaches the replicas.

        Returns
        -------
        tuple of (list, float)
            The statuses of the other one's requests, which must not be repeated, and
            the seconds that the stop has taken.
        """
        loop = asyncio.get_running_loop()
        statuses = []
        async with open_environment(1, 2, folder) as environment:
            asked, stopped = environment.gateways
            replicas = environment.fleet.replicas.values()
            for replica in replicas:
                replica.faults.delay = self.WORK
            asked.write_cut(Cut.REFUSE, [it.host for it in replicas])
            await asyncio.sleep(1.0)

            async def call(number):
                while stopped.running:
                    name = f"post-{number}-{len(statuses)}"
                    case = StopCase(f"/post/{name}", 0.0)
                    found = await ask(asked.decoded_settings.callers, case, name)
                    statuses.append(found.status)

            calls = [asyncio.ensure_future(call(it)) for it in range(self.CALLERS)]
            await asyncio.sleep(1.0)
            began = loop.time()
            await stopped.stop()
            took = loop.time() - began
            await asyncio.gather(*calls)
        return statuses, took

    def test_requests_end_before_the_gateway_between_does(self):
        with tempfile.TemporaryDirectory(prefix="planned-stop-") as folder:
            statuses, took = asyncio.run(self.play(Path(folder)))
        # Without another way, requests are refused as not run.
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertIn(200, statuses)
        self.assertLess(took, ACCEPT_TIME + SLACK)
