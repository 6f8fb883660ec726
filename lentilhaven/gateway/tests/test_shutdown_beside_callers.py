import asyncio
import unittest
from random import Random

import attrs

from lentilhaven.gateway.listeners import open_caller_listener
from lentilhaven.gateway.program import drain
from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    two_chains,
)
from lentilhaven.gateway.tests.raw_caller import RawCaller, raw_request

#: Seeds that run in CI.  A seed that has failed stays here, with its cause.
SEEDS = range(4)

#: Number of callers, and port of the gateway that ends.
CALLERS, PORT = 40, 7500

#: Seconds for which a connection must have been unused to be closed without an answer
#: to a request in transit.
UNUSED_TIME = 0.5

#: Longest time from a look at a connection to the arrival of a request on it, in
#: seconds.
MAX_TRANSIT_TIME = 0.05


class ShutdownRun:
    """
    Callers on kept connections of a gateway that ends.

    Attributes
    ----------
    answers : list of (str, RawAnswer)
        Id and answer of each answered request.
    lost : list of (str, float)
        Id of each request without an answer, and for how long its connection had been
        unused, in seconds.
    """

    def __init__(self, seed):
        self.random = Random(seed)
        self.answers = []
        self.lost = []

    async def run(self, bed):
        """Run the callers and end the gateway, and return this object."""
        gateway = bed.gateways[0]
        gateway.settings = attrs.evolve(gateway.settings, callers=f"10.0.0.1:{PORT}")
        async with open_caller_listener(gateway) as listener:
            callers = [
                asyncio.ensure_future(self.call(number)) for number in range(CALLERS)
            ]
            await asyncio.sleep(self.random.uniform(1.0, 2.0))
            await drain(gateway, listener)
        await asyncio.gather(*callers)
        self.runs = {run.request_id for run in bed.fleet.runs}
        return self

    async def call(self, number):
        """Send requests until the gateway accepts no connections."""
        loop = asyncio.get_running_loop()
        caller, used_at, count = None, 0.0, 0
        while True:
            await asyncio.sleep(self.random.choice((0.0, 0.02, 0.4, 3.0)))
            if caller is None or caller.sees_close:
                try:
                    caller = await RawCaller.connect(PORT)
                except OSError:
                    return
                used_at = loop.time()
            await asyncio.sleep(self.random.uniform(0.0, MAX_TRANSIT_TIME))
            count += 1
            request_id = f"{number}-{count}"
            unused_time = loop.time() - used_at
            answer = await caller.ask(self.make_request(request_id), 30.0)
            used_at = loop.time()
            if answer is None:
                self.lost.append((request_id, unused_time))
                caller = None
                continue
            self.answers.append((request_id, answer))
            if answer.idle_time == 0:
                caller = None

    def make_request(self, request_id):
        """Return a request of a random kind; some streams last for two seconds."""
        kind = self.random.choice(("draft", "once", "post", "look"))
        body = None if kind == "look" else b"count 7"
        output = self.random.choice((40, 400)) if kind in ("draft", "once") else 0
        return raw_request(f"/{kind}/{request_id}", request_id, body, output)


class EndTests(unittest.TestCase):
    """Requests on kept connections of a gateway that ended were lost (issue 25)."""

    def test_a_request_is_answered_unless_it_met_a_close_in_transit(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                replicas = two_chains() + plain_replicas(3)
                run = run_on_testbed(ShutdownRun(seed).run, replicas, seed=seed + 1)
                self.assertEqual([it for it in run.lost if it[0] in run.runs], [])
                self.assertEqual([it for it in run.lost if it[1] <= UNUSED_TIME], [])
                for request_id, answer in run.answers:
                    self.assertTrue(answer.complete, request_id)
                    if answer.status == 503:
                        self.assertNotIn(request_id, run.runs)
                # Most callers have used a connection again.
                self.assertGreater(len(run.answers), 2 * CALLERS)
