"""Requests that end each replica that begins to run them."""

import asyncio
import unittest

import attrs

from lentilhaven.gateway.tests.platform_testbed import (
    LAYERS,
    engine,
    plain_replicas,
    run_on_testbed,
    sample_manifest,
)
from lentilhaven.standins.platform.fake_replica import CrashingRequest

#: Sound and crashing requests a second.
SOUND_RATE, CRASHING_RATE = 30, 6

#: Seconds of sound requests alone, and of both kinds after that.
QUIET_TIME, MIXED_TIME = 3.0, 16.0

#: Seconds after the third crash from which requests are counted that still reach a
#: replica, and how many of them the rules allow.
LEARNING_TIME, ALLOWED_ARRIVALS = 3.0, 3

#: Seconds after the third crash from which sound requests must be served as before.
RECOVERY_TIME = 2 * LEARNING_TIME

#: Minimum served share of sound requests from then on.
MIN_SERVED = 0.95

#: Seconds after which a crashed replica is back.
CRASH_TIME = 2.0

#: Seconds after which crashed replicas are back and no longer suspected.
SETTLING_TIME = CRASH_TIME + 4.0

#: Body of the crashing request, and of the sound ones that many callers send.
CRASHING_BODY, HOT_BODY = b"count of meter 13", b"count of all meters"

#: API key of a second workspace.
OTHER_KEY = "key-of-yard"

#: Path of requests on each kind of route.
PATHS = {"look": "/look/7", "post": "/post/7", "draft": "/draft/7"}


@attrs.frozen
class Sent:
    """A sound request: when it was sent, and whether its answer was complete."""

    at: float
    served: bool


@attrs.define
class Outcome:
    """
    What has happened beside a crashing request.

    Attributes
    ----------
    crashes, arrivals : list of float
        Times of the crashes, and of the arrivals of the crashing request at replicas,
        in ascending order.
    sound : list of Sent
        The sound requests.
    refused : list of int
        Status codes of the crashing request.
    """

    crashes: list[float]
    arrivals: list[float]
    sound: list[Sent]
    refused: list[int]

    @property
    def third_crash(self) -> float:
        """Return the time of the third crash."""
        return self.crashes[2]

    def late_arrivals(self) -> list[float]:
        """Return the arrivals that come too late after the third crash."""
        return [it for it in self.arrivals if it > self.third_crash + LEARNING_TIME]

    def served_share(self, start: float, end: float = 1e9) -> float:
        """Return the share of sound requests sent in an interval that were served."""
        found = [it.served for it in self.sound if start <= it.at < end]
        return sum(found) / len(found)


def full_engines(count=12, **other):
    """Return engines that each hold all layers."""
    names = [f"e{chr(ord('a') + number)}" for number in range(count)]
    return [engine(name, 0, LAYERS, card="large", **other) for name in names]


def engine_pairs(count=6):
    """Return chains of two engines each."""
    names = [chr(ord("a") + number) for number in range(count)]
    half = LAYERS // 2
    first = [engine(f"{name}0", 0, half, card="large") for name in names]
    return first + [engine(f"{name}-4", half, LAYERS, card="large") for name in names]


def long_chains(count=5, parts=4):
    """Return chains of several engines each."""
    size = LAYERS // parts
    return [
        engine(f"{'x' * part}{chr(ord('a') + copy)}", start, start + size, card="large")
        for copy in range(count)
        for part, start in enumerate(range(0, LAYERS, size))
    ]


def replicas_of(route):
    """Return twelve replicas that serve a route."""
    if route == "draft":
        return full_engines()
    replicas = plain_replicas(12)
    for replica in replicas:
        replica.faults.delay = 0.05
    return replicas


def two_workspaces():
    """Return a manifest with two workspaces."""
    tenants = [
        {"name": "depot", "api_keys": ["key-of-depot"]},
        {"name": "yard", "api_keys": [OTHER_KEY]},
    ]
    return sample_manifest(tenants=tenants)


async def send_at_rate(bed, rate, seconds, send):
    """Call ``send(number, gateway)`` at a rate, with each gateway in turn."""
    tasks = []
    for number in range(int(rate * seconds)):
        task = asyncio.ensure_future(send(number, number % len(bed.gateways)))
        tasks.append(task)
        await asyncio.sleep(1.0 / rate)
    return await asyncio.gather(*tasks)


async def send_sound(bed, path, seconds, hot_share=0.0):
    """Send sound requests at `SOUND_RATE`; a share of them has the same body."""

    async def send(number, gateway):
        at = asyncio.get_running_loop().time()
        is_hot = hot_share and number % round(1 / hot_share) == 0
        body = HOT_BODY if is_hot else b"count %d" % number
        reply = await bed.call(path, gateway=gateway, body=body)
        return Sent(at, reply.status == 200 and reply.complete)

    return await send_at_rate(bed, SOUND_RATE, seconds, send)


async def send_crashing(bed, path, seconds, rate=CRASHING_RATE):
    """Send the crashing request again and again, and return the status codes."""

    async def send(number, gateway):
        reply = await bed.call(path, gateway=gateway, body=CRASHING_BODY)
        return reply.status

    return await send_at_rate(bed, rate, seconds, send)


def crash_on(bed, path, pieces=None, part=0):
    """Let a request with `CRASHING_BODY` crash the replicas that run it."""
    rule = CrashingRequest("depot", "POST", path, CRASHING_BODY, pieces, part)
    bed.fleet.crashing_requests.append(rule)
    bed.fleet.crash_time, bed.fleet.keeps_layers = CRASH_TIME, True


def crash_times(bed):
    """Return the times of all crashes."""
    return sorted(at for it in bed.fleet.replicas.values() for at in it.crashes)


def play_crashing_request(route, replicas, pieces=None, part=0, hot_share=0.0):
    """Send sound requests, after a while the crashing one beside them."""
    path = PATHS[route]

    async def scenario(bed):
        crash_on(bed, path, pieces, part)
        seconds = QUIET_TIME + MIXED_TIME
        task = asyncio.ensure_future(send_sound(bed, path, seconds, hot_share))
        await asyncio.sleep(QUIET_TIME)
        refused = await send_crashing(bed, path, MIXED_TIME)
        sound = await task
        arrivals = sorted(bed.fleet.crashing_request_arrivals)
        return Outcome(crash_times(bed), arrivals, sound, refused)

    return run_on_testbed(scenario, replicas)


class CrashingRequestTests(unittest.TestCase):
    """
    Guard against a request that ends one replica after the other.

    It comes again at every gateway with the same path, caller and body, and each time
    ended one or two replicas.
    """

    def check(self, route, replicas=None, **options):
        outcome = play_crashing_request(
            route, replicas or replicas_of(route), **options
        )
        third = outcome.third_crash
        with self.subTest("the request reaches no more replicas"):
            self.assertLessEqual(len(outcome.late_arrivals()), ALLOWED_ARRIVALS)
        with self.subTest("its callers are told that it has not run"):
            self.assertEqual(set(outcome.refused[-40:]), {503})
        with self.subTest("sound requests are served"):
            served = outcome.served_share(third + RECOVERY_TIME)
            self.assertGreaterEqual(served, MIN_SERVED)

    def test_plain_request_before_the_head(self):
        self.check("look")

    def test_plain_request_within_the_answer(self):
        self.check("look", pieces=3)

    def test_plain_request_that_must_not_be_repeated(self):
        self.check("post")

    def test_plain_request_beside_a_hot_one(self):
        self.check("look", hot_share=1 / 3)

    def test_stream_before_the_head(self):
        self.check("draft")

    def test_stream_after_the_head(self):
        self.check("draft", pieces=0)

    def test_stream_after_some_events(self):
        self.check("draft", pieces=3)

    def test_stream_beside_a_hot_one(self):
        self.check("draft", pieces=3, hot_share=1 / 3)

    def test_stream_that_ends_the_second_part_before_the_head(self):
        self.check("draft", engine_pairs(), part=1)

    def test_stream_that_ends_the_second_part_after_some_events(self):
        self.check("draft", engine_pairs(), pieces=3, part=1)


class OrdinaryCrashTests(unittest.TestCase):
    """Guard against refusals after crashes that no request has caused."""

    def check(self, route, replicas, groups):
        """Let groups of replicas crash one after the other beside a hot request."""

        async def scenario(bed):
            bed.fleet.crash_time, bed.fleet.keeps_layers = CRASH_TIME, True
            path = PATHS[route]
            task = asyncio.ensure_future(send_sound(bed, path, 15.0, 1 / 3))
            await asyncio.sleep(QUIET_TIME)
            names = iter(list(bed.fleet.replicas.values()))
            for size, gap in groups:
                for _ in range(size):
                    bed.fleet.begin_crash(next(names))
                    await asyncio.sleep(gap)
                await asyncio.sleep(CRASH_TIME + 0.5)
            sound = await task
            name = "refused: harmful-request"
            refusals = sum(gateway.counters[name] for gateway in bed.gateways)
            return sum(it.served for it in sound) / len(sound), refusals

        served, refusals = run_on_testbed(scenario, replicas)
        self.assertEqual(refusals, 0)
        self.assertGreaterEqual(served, MIN_SERVED)

    def test_two_groups_of_engines(self):
        self.check("draft", full_engines(), [(3, 0.2), (3, 0.2)])

    def test_two_groups_of_plain_replicas(self):
        self.check("look", replicas_of("look"), [(3, 0.2), (3, 0.2)])

    def test_half_of_the_engines(self):
        self.check("draft", full_engines(), [(6, 0.33)])

    def test_half_of_the_plain_replicas(self):
        self.check("look", replicas_of("look"), [(6, 0.33)])

    def test_several_parts_of_one_chain_at_once(self):
        """A run counts for one end only, although it has lost three parts."""

        async def scenario(bed):
            bed.fleet.crash_time, bed.fleet.keeps_layers = CRASH_TIME, True

            async def crash_parts():
                await asyncio.sleep(0.15)
                for part in bed.fleet.runs[0].path.split(",")[1:]:
                    address = part.partition("=")[0]
                    bed.fleet.begin_crash(bed.fleet.find_replica(address))

            task = asyncio.ensure_future(crash_parts())
            await bed.call("/once/7", output=120)
            await task
            await asyncio.sleep(SETTLING_TIME)
            return (await bed.call("/once/7", output=120)).status

        self.assertEqual(run_on_testbed(scenario, long_chains(1)), 200)

    def test_several_parts_of_long_chains_at_once(self):
        """A stream may lose several parts at once, and its next run another one."""

        async def scenario(bed):
            bed.fleet.crash_time, bed.fleet.keeps_layers = CRASH_TIME, True

            async def send(number, gateway):
                body = b"count %d" % number
                for attempt in range(3):
                    reply = await bed.call(
                        PATHS["draft"],
                        gateway=(gateway + attempt) % 2,
                        body=body,
                        output=120,
                    )
                    if reply.status == 200 and reply.complete:
                        return True
                    await asyncio.sleep(0.1)
                return False

            task = asyncio.ensure_future(send_at_rate(bed, SOUND_RATE, 16.0, send))
            replicas = list(bed.fleet.replicas.values())
            for _ in range(3):
                await asyncio.sleep(QUIET_TIME)
                for replica in bed.gateways[0].random.sample(replicas, 8):
                    bed.fleet.begin_crash(replica)
            await task
            ledgers = [gateway.crash_ledger for gateway in bed.gateways]
            return [
                subject
                for ledger in ledgers
                for subject in ledger.suspects
                if ledger.is_at_fault(subject, [subject])
            ]

        self.assertEqual(run_on_testbed(scenario, long_chains()), [])


class BystanderTests(unittest.TestCase):
    """Guard against refusals of sound requests that ran where another one crashed."""

    def serve_after_crashes(self, path, body, **headers):
        """Return the status of a sound request after three crashes by another one."""

        async def scenario(bed):
            crash_on(bed, PATHS["look"])
            await send_crashing(bed, PATHS["look"], 3.0)
            crashes = len(crash_times(bed))
            refused = await bed.call(PATHS["look"], body=CRASHING_BODY)
            reply = await bed.call(path, body=body, **headers)
            return crashes, refused.status, reply.status

        replicas = replicas_of("look")
        return run_on_testbed(scenario, replicas, manifest=two_workspaces())

    def test_other_body(self):
        found = self.serve_after_crashes(PATHS["look"], b"count 1")
        self.assertEqual(found, (3, 503, 200))

    def test_other_path(self):
        found = self.serve_after_crashes("/look/8", CRASHING_BODY)
        self.assertEqual(found, (3, 503, 200))

    def test_other_caller(self):
        found = self.serve_after_crashes(
            PATHS["look"], CRASHING_BODY, Authorization=f"Bearer {OTHER_KEY}"
        )
        self.assertEqual(found, (3, 503, 200))

    def test_request_that_its_caller_repeats_after_each_crash(self):
        """A slow sound request is on each replica that the crashing one ends."""

        async def scenario(bed):
            crash_on(bed, PATHS["draft"], pieces=3)

            async def repeat_bystander():
                statuses = []
                for number in range(6):
                    reply = await bed.call(
                        PATHS["draft"],
                        gateway=number % 2,
                        body=b"a long count",
                        output=200,
                    )
                    statuses.append(reply.complete and reply.status)
                    await asyncio.sleep(0.3)
                return statuses

            task = asyncio.ensure_future(repeat_bystander())
            await send_crashing(bed, PATHS["draft"], 8.0)
            return await task

        # With two engines the requests meet on each of them.
        statuses = run_on_testbed(scenario, full_engines(4))
        self.assertEqual(statuses[-1], 200)


class LapseTests(unittest.TestCase):
    """Guard against new crashes each time that the evidence is too old."""

    def test_request_that_is_still_sent_wins_no_new_set_of_crashes(self):
        async def scenario(bed):
            crash_on(bed, PATHS["look"])
            await send_crashing(bed, PATHS["look"], 420.0, rate=2)
            return len(crash_times(bed))

        # Three crashes, and one trial each time that the refusal lapses.
        self.assertLessEqual(run_on_testbed(scenario, replicas_of("look")), 5)

    def test_request_that_is_sound_again_is_served_after_a_trial(self):
        async def scenario(bed):
            crash_on(bed, PATHS["look"])
            await send_crashing(bed, PATHS["look"], 3.0)
            reply = await bed.call(PATHS["look"], body=CRASHING_BODY)
            bed.fleet.crashing_requests.clear()
            await asyncio.sleep(float(reply.headers["Retry-After"]) + 1.0)
            statuses = await send_crashing(bed, PATHS["look"], 5.0)
            return reply.status, statuses[-10:]

        status, statuses = run_on_testbed(scenario, replicas_of("look"))
        self.assertEqual(status, 503)
        self.assertEqual(statuses, [200] * 10)
