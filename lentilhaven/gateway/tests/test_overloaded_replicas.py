"""Replicas that end when they run too many requests at once."""

import asyncio
import unittest

from lentilhaven.gateway.tests.platform_testbed import plain_replicas, run_on_testbed
from lentilhaven.gateway.tests.test_crashing_requests import (
    CRASH_TIME,
    crash_times,
    send_at_rate,
)

#: Requests a second, and seconds for which they are sent: less than a third of what six
#: replicas of eight slots run in 0.11 s each.
RATE, SECONDS = 120, 20.0

#: Number of replicas, requests that each runs at once before it ends, which its entry
#: states as its slots, and seconds that each request takes in addition.
REPLICAS, SLOTS, DELAY = 6, 8, 0.1

#: Seconds between two checks for replicas that have started again.
ARM_INTERVAL = 0.05


async def keep_limits(bed, max_running):
    """Let replicas end above a limit, also after they have started again."""
    while True:
        for replica in bed.fleet.replicas.values():
            replica.faults.max_running = max_running
            replica.faults.delay = DELAY
        await asyncio.sleep(ARM_INTERVAL)


class OverloadTests(unittest.TestCase):
    """Guard against sound replicas that end one after the other by load alone."""

    def play(self, max_running):
        """Return the crashes, the share served, and runs for each request."""

        async def scenario(bed):
            bed.fleet.crash_time = CRASH_TIME
            limits = asyncio.ensure_future(keep_limits(bed, max_running))

            async def send(number, gateway):
                reply = await bed.call(f"/look/{number}", "GET", gateway=gateway)
                return reply.status == 200

            served = await send_at_rate(bed, RATE, SECONDS, send)
            limits.cancel()
            share = sum(served) / len(served)
            return len(crash_times(bed)), share, len(bed.fleet.runs) / len(served)

        return run_on_testbed(scenario, plain_replicas(REPLICAS))

    def test_load_that_replicas_can_bear_ends_none(self):
        crashes, served, _ = self.play(SLOTS)
        self.assertEqual(crashes, 0)
        self.assertGreaterEqual(served, 0.95)

    def test_load_is_served_if_replicas_do_not_end(self):
        _, served, _ = self.play(0)
        self.assertEqual(served, 1.0)

    def test_ends_of_replicas_multiply_no_runs(self):
        """The retry budget bounds what is sent again, whatever ends."""
        _, _, runs = self.play(SLOTS)
        self.assertLessEqual(runs, 1.5)
