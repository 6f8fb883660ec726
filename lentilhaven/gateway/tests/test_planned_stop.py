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

#: Seconds of the routes' timeouts: longer than the grace period.
ROUTE_TIMEOUT = 30.0

#: Seconds after SIGTERM at which a request arrives that is still taken, at which one is
#: refused, and shortly before the end.
EARLY, LATE, LAST = 1.5, 4.0, 6.6

#: Seconds of work that ends before the process does.
SHORT_WORK = 1.5

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


CASES = {
    "post, body late": StopCase("/post/1", EARLY, LATE),
    "post, body at the end": StopCase("/post/2", EARLY, LAST),
    "look, body late": StopCase("/look/1", EARLY, LATE),
    "stream, body late": StopCase("/once/1", EARLY, LATE, 40),
}


@attrs.define
class StopResult:
    """
    What became of a request.

    Attributes
    ----------
    status : int or None
        Status of the answer; None if the connection ended without one.
    at : float
        Seconds after SIGTERM at which the answer had arrived, or the end.
    runs : int
        How often the request has run.
    """

    status: int | None
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
        return StopResult(answer and answer.status, loop.time() - began)
    finally:
        caller.writer.close()


def patient_manifest():
    """Return a manifest whose routes allow requests longer than the grace period."""
    manifest = soak_manifest(2)
    for route in manifest["routes"]:
        route["timeout_ms"] = int(ROUTE_TIMEOUT * 1000)
    return manifest


@functools.cache
def play_stop():
    """Stop a gateway beside the requests of `CASES`; return the results by name."""

    async def main():
        with tempfile.TemporaryDirectory(prefix="planned-stop-") as folder:
            async with open_environment(1, 1, Path(folder)) as environment:
                (gateway,) = environment.gateways
                environment.store.put("config", "main", patient_manifest())
                for replica in environment.fleet.replicas.values():
                    replica.faults.delay = 0.0 if replica.card else SHORT_WORK
                await asyncio.sleep(1.0)
                address = gateway.decoded_settings.callers
                asks = [ask(address, case, name) for name, case in CASES.items()]
                *results, _ = await asyncio.gather(*asks, gateway.stop())
                found = dict(zip(CASES, results, strict=True))
                for run in environment.fleet.runs:
                    found[run.request_id].runs += 1
                return found, gateway.process.returncode

    return asyncio.run(main())


class LateBodyTests(unittest.TestCase):
    """Guards against passing on, until the end of a stop, what was begun before it."""

    def test_requests_without_their_bodies_are_refused_in_time(self):
        results, _ = play_stop()
        for name, case in CASES.items():
            if case.body_at:
                with self.subTest(name):
                    self.assertEqual(
                        (results[name].status, results[name].runs), (503, 0)
                    )
                    self.assertLess(results[name].at, ACCEPT_TIME + SLACK)
