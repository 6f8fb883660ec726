"""
Pattern: some engines of a fleet turn slow for seconds, and still answer.

Every chain through one of them is slow.  Nothing fails, so that no suspicion arises.
"""

import asyncio
import unittest

from lentilhaven.core.clock import Clock
from lentilhaven.fleet.endpoint import Endpoint
from lentilhaven.gateway.endpoint_states import PACE_EXPIRY, EndpointState
from lentilhaven.gateway.pace_check import (
    FLEET_QUESTION_RATE,
    question_limit,
    take_affordable,
)
from lentilhaven.gateway.tests.platform_testbed import run_on_testbed, two_chains
from lentilhaven.objects.token_bucket import TokenBucket

#: Seconds within which all gateways avoid a slow engine.
NOTICE_TIME = 1.5

#: Seconds between two events of an engine at its usual pace, as the estimate has it.
EVENT_TIME = 0.05

#: Pace at which the pauses are still too short to count as a fault.
SLOW = 2.5


def engines():
    """Return two chains at their usual pace."""
    found = two_chains()
    for each in found:
        each.event_time = EVENT_TIME
    return found


class SlowEngineTests(unittest.TestCase):
    def test_new_streams_avoid_the_slow_part_at_every_gateway(self):
        async def use(bed):
            bed.fleet.replicas["i-a4"].pace = SLOW
            await asyncio.gather(
                *(bed.call("/draft/1", gateway=0, output=200) for _ in range(6))
            )
            await asyncio.sleep(NOTICE_TIME)
            slow = [
                gateway.endpoint_states.of(endpoint).slowdown
                for gateway in bed.gateways
                for endpoint in gateway.view.endpoints.values()
                if endpoint.id == "i-a4"
            ]
            noticed_at = asyncio.get_running_loop().time()
            for number in range(8):
                await bed.call("/draft/1", gateway=number % 2)
            address = bed.fleet.replicas["i-a4"].address
            paths = [
                run.fields["hop-count"]
                for run in bed.fleet.runs
                if run.at >= noticed_at
            ]
            return slow, len(paths), sum(address in path for path in paths)

        slow, count, used = run_on_testbed(use, engines())
        self.assertEqual(slow, [SLOW, SLOW])
        self.assertEqual((count, used), (8, 0))

    def test_recovered_engine_is_used_again(self):
        async def use(bed):
            bed.fleet.replicas["i-a4"].pace = SLOW
            await asyncio.gather(
                *(bed.call("/draft/1", gateway=0, output=200) for _ in range(6))
            )
            bed.fleet.replicas["i-a4"].pace = 1.0
            await asyncio.sleep(PACE_EXPIRY + NOTICE_TIME)
            now = asyncio.get_running_loop().time()
            return [
                gateway.endpoint_states.of(endpoint).current_slowdown(now)
                for gateway in bed.gateways
                for endpoint in gateway.view.endpoints.values()
            ]

        self.assertEqual(set(run_on_testbed(use, engines())), {1.0})

    def test_engines_of_streams_at_their_usual_pace_are_not_asked(self):
        async def use(bed):
            for _ in range(10):
                await bed.call("/draft/1", output=200)
            return [
                gateway.endpoint_states.of(endpoint).pace_at
                for gateway in bed.gateways
                for endpoint in gateway.view.endpoints.values()
            ]

        asked_at = run_on_testbed(use, engines())
        self.assertEqual(set(asked_at), {-PACE_EXPIRY})


class QuestionLimitTests(unittest.TestCase):
    """Guards against questions that grow with gateways times engines in an overload."""

    def ask_for(self, gateways, seconds):
        """Return the questions of a fleet in which all chains of all are slow."""
        now = [0.0]
        clock = Clock(lambda: now[0], lambda: now[0], asyncio.sleep)
        engines = [Endpoint(f"e{n}", "s", f"10.0.0.{n}:80", "z") for n in range(200)]
        buckets = [
            TokenBucket.full(clock, question_limit(gateways)) for _ in range(gateways)
        ]
        count = 0
        while now[0] < seconds:
            now[0] += 0.1
            count += sum(len(take_affordable(engines, bucket)) for bucket in buckets)
        return count

    def test_all_gateways_together_keep_to_the_rate(self):
        for gateways in (1, 9, 195, 1100):
            with self.subTest(gateways=gateways):
                # Each may ask one engine at once, whatever its share.
                most = 20 * FLEET_QUESTION_RATE + max(gateways, FLEET_QUESTION_RATE)
                self.assertLessEqual(self.ask_for(gateways, 20.0), most + gateways)


class PaceTests(unittest.TestCase):
    def test_report_from_farther_away_does_not_replace_the_same_statement(self):
        state = EndpointState()
        state.note_pace(4.0, 10.0, distance=1)
        state.note_pace(4.0, 10.2, distance=3)
        self.assertEqual((state.pace_at, state.pace_distance), (10.0, 1))
        state.note_pace(1.0, 11.0, distance=3)
        self.assertEqual((state.slowdown, state.pace_distance), (1.0, 3))

    def test_pace_expires(self):
        state = EndpointState()
        state.note_pace(4.0, 10.0)
        self.assertEqual(state.current_slowdown(10.0 + PACE_EXPIRY - 0.1), 4.0)
        self.assertEqual(state.current_slowdown(10.0 + PACE_EXPIRY), 1.0)
