"""Requests that end a later engine of their chain, and how that end becomes known."""

import asyncio
import unittest
from unittest import mock

from lentilhaven.gateway import crash_checks, suspect_check
from lentilhaven.gateway.tests.platform_testbed import LAYERS, engine, run_on_testbed
from lentilhaven.gateway.tests.test_crashing_requests import (
    ALLOWED_ARRIVALS,
    LEARNING_TIME,
    crash_times,
    engine_pairs,
)
from lentilhaven.gateway.tests.test_large_fleet import LARGE
from lentilhaven.standins.platform.fake_replica import CrashingRequest

#: Path and body of the request that ends an engine.
PATH, CRASHING_BODY = "/draft/7", b"count of meter 13"

#: Seconds from one request to the next, and for which requests are sent.
CALL_INTERVAL, CALL_TIME = 0.25, 16.0


def engine_triples(count=5):
    """Return chains of three engines each."""
    bounds = ((0, 3), (3, 6), (6, LAYERS))
    return [
        engine(f"{chr(ord('a') + number)}{'-' * index}{start}", start, end, "large")
        for index, (start, end) in enumerate(bounds)
        for number in range(count)
    ]


async def send_until_refused(bed, gateways=(0,)):
    """
    Send the request again and again, with sound ones beside it.

    Returns the status of the last request, the number of its arrivals from 3 s after
    the third crash, and the share of the latest sound requests that were served.
    """
    crashing, sound = [], []
    for number in range(int(CALL_TIME / CALL_INTERVAL)):
        gateway = gateways[number % len(gateways)]
        for body, tasks in ((CRASHING_BODY, crashing), (b"count %d" % number, sound)):
            call = bed.call(PATH, gateway=gateway, body=body)
            tasks.append(asyncio.ensure_future(call))
        await asyncio.sleep(CALL_INTERVAL)
    statuses = [reply.status for reply in await asyncio.gather(*crashing)]
    served = [
        reply.status == 200 and reply.complete for reply in await asyncio.gather(*sound)
    ]
    late_from = crash_times(bed)[2] + LEARNING_TIME
    late = [it for it in bed.fleet.crashing_request_arrivals if it > late_from]
    return statuses[-1], len(late), sum(served[-20:]) / 20


def silence_store():
    """Return a patch by which a listing of the store shows no end of an engine."""
    return mock.patch("lentilhaven.gateway.program.note_gone")


def silence_questions(*gateways):
    """Return a patch by which some gateways ask no suspected engines."""
    ask = suspect_check.own_suspects

    def own_suspects(gateway, now):
        numbers = [0, 1] if not gateways else gateways
        addresses = [f"10.0.0.{number + 1}" for number in numbers]
        return [] if gateway.settings.address in addresses else ask(gateway, now)

    return mock.patch.object(suspect_check, "own_suspects", own_suspects)


class LaterPartTests(unittest.TestCase):
    """Guard against ends of later parts of chains that no connection shows."""

    def check(self, replicas, part, pieces=None, crash_time=2.0, new_id=False):
        async def use(bed):
            rule = CrashingRequest("depot", "POST", PATH, CRASHING_BODY, pieces, part)
            bed.fleet.crashing_requests.append(rule)
            bed.fleet.crash_time, bed.fleet.keeps_layers = crash_time, True
            bed.fleet.restarts_anew = new_id
            return await send_until_refused(bed)

        status, late, served = run_on_testbed(use, replicas, gateways=1)
        self.assertEqual(status, 503)
        self.assertLessEqual(late, ALLOWED_ARRIVALS)
        self.assertEqual(served, 1.0)

    def check_each_crash(self, replicas, part, **options):
        for pieces in (None, 3):
            for new_id in (False, True):
                with self.subTest(pieces=pieces, new_id=new_id):
                    self.check(replicas(), part, pieces, new_id=new_id, **options)

    def test_second_part_known_by_a_refused_question_alone(self):
        with silence_store():
            self.check_each_crash(lambda: engine_pairs(8), 1)

    def test_third_part_known_by_a_refused_question_alone(self):
        with silence_store():
            self.check_each_crash(engine_triples, 2)

    def test_second_part_known_by_the_store_alone(self):
        """The engine is back before a question would be refused."""
        with silence_questions():
            self.check_each_crash(lambda: engine_pairs(8), 1, crash_time=0.2)

    def test_third_part_known_by_the_store_alone(self):
        with silence_questions():
            self.check_each_crash(engine_triples, 2, crash_time=0.2)


class OtherGatewayTests(unittest.TestCase):
    """Guard against ends of later parts that only another gateway has seen."""

    def check(self, replicas, part, new_id, **options):
        """Send the request through a gateway that sees no ends itself."""

        async def use(bed):
            rule = CrashingRequest("depot", "POST", PATH, CRASHING_BODY, 3, part)
            bed.fleet.crashing_requests.append(rule)
            bed.fleet.crash_time, bed.fleet.keeps_layers = 2.0, True
            bed.fleet.restarts_anew = new_id

            def note_gone(gateway, known):
                if gateway is not bed.gateways[0]:
                    crash_checks.note_gone(gateway, known)

            with mock.patch("lentilhaven.gateway.program.note_gone", note_gone):
                return await send_until_refused(bed)

        with silence_questions(0):
            status, late, served = run_on_testbed(use, replicas, **options)
        self.assertEqual(status, 503)
        self.assertLessEqual(late, ALLOWED_ARRIVALS)
        self.assertEqual(served, 1.0)

    def test_second_part(self):
        for new_id in (False, True):
            with self.subTest(new_id=new_id):
                self.check(engine_pairs(8), 1, new_id, gateways=2)

    def test_third_part(self):
        for new_id in (False, True):
            with self.subTest(new_id=new_id):
                self.check(engine_triples(), 2, new_id, gateways=2)

    def test_third_part_in_a_large_fleet(self):
        for new_id in (False, True):
            with self.subTest(new_id=new_id):
                self.check(engine_triples(), 2, new_id, **LARGE)


class MovedStreamTests(unittest.TestCase):
    """Guard against refusals of sound streams that were moved and answered whole."""

    def test_sound_stream_that_loses_a_part_again_and_again(self):
        async def use(bed):
            bed.fleet.crash_time, bed.fleet.keeps_layers = 1.0, True

            async def crash_second_parts():
                for name in "abcdef":
                    await asyncio.sleep(1.0)
                    bed.fleet.begin_crash(bed.fleet.replicas[f"i-{name}-4"])

            async def stream(number):
                served = []
                for _ in range(8):
                    body = b"long %d" % (number // 2)
                    reply = await bed.call(
                        PATH, gateway=number % 2, body=body, output=200
                    )
                    served.append(reply.status == 200 and reply.complete)
                return served

            task = asyncio.ensure_future(crash_second_parts())
            found = await asyncio.gather(*(stream(number) for number in range(24)))
            await task
            name = "refused: harmful-request"
            refused = sum(gateway.counters[name] for gateway in bed.gateways)
            return refused, {served[-1] for served in found}

        refused, served = run_on_testbed(use, engine_pairs(8))
        self.assertEqual(refused, 0)
        self.assertEqual(served, {True})
