import asyncio
import unittest
from contextlib import AsyncExitStack
from unittest import mock

import attrs

from lentilhaven.crashes.ledger import EVIDENCE_TIME
from lentilhaven.gateway.crash_checks import refute_ends
from lentilhaven.gateway.endpoint_states import EndpointState
from lentilhaven.gateway.tests import platform_testbed
from lentilhaven.gateway.tests.platform_testbed import (
    LAYERS,
    engine,
    plain_replicas,
    run_on_testbed,
    sample_settings,
    start_gateway,
)
from lentilhaven.gateway.tests.test_large_fleet import LARGE, SETTLING
from lentilhaven.peering.subject import Subject
from lentilhaven.platform.settings import decode_settings
from lentilhaven.standins.platform.fake_replica import Run
from lentilhaven.upstream.connection_pool import ConnectionPool

#: Part of prompts that crashes engines, and one that all requests share.
HARMFUL, SHARED = "dead01", "5c1e07a2"

#: Streams a second with and without the harmful part.
HARMFUL_RATE, SOUND_RATE = 6, 30

#: Seconds of sound streams alone, and of streams of both kinds after that.
QUIET_TIME, MIXED_TIME = 3.0, 14.0

#: Seconds after the fifth crash from which requests with the harmful part are counted,
#: and how many may still reach replicas.
LEARNING_TIME, ALLOWED_RUNS = 3.0, 3

#: Seconds after the fifth crash from which sound streams are counted once more.
RECOVERY_TIME = 6.0


@attrs.frozen
class Sent:
    """A sound stream: when it was sent, and whether its answer was complete."""

    at: float
    served: bool


@attrs.define
class Outcome:
    """
    What has happened in a run with a harmful part.

    Attributes
    ----------
    harmful_from : float
        Time at which the first request with the part was sent, in seconds.
    crashes : list of float
        Times of the crashes, in ascending order.
    harmful_runs : list of Run
        Runs of requests with the part.
    sound : list of Sent
        The sound streams.
    """

    harmful_from: float
    crashes: list[float]
    harmful_runs: list[Run]
    sound: list[Sent]

    @property
    def fifth_crash(self) -> float:
        """Return the time of the fifth crash, or of the last if there were fewer."""
        return self.crashes[:5][-1]

    def served_share(self, start: float, end: float = 1e9) -> float:
        """Return the share of sound streams sent in an interval that were served."""
        found = [it.served for it in self.sound if start <= it.at < end]
        return sum(found) / len(found)


def full_engines(count=12):
    """Return engines that each hold all layers."""
    names = [f"e{chr(ord('a') + number)}" for number in range(count)]
    return [engine(name, 0, LAYERS, card="large") for name in names]


async def send_at_rate(bed, rate, seconds, prefix, sent):
    """Send streams at a rate through all gateways in turn, and await the replies."""
    loop = asyncio.get_running_loop()

    async def send(number):
        at = loop.time()
        gateway = number % len(bed.gateways)
        reply = await bed.call(
            "/draft/1",
            gateway=gateway,
            Prompt_Prefix=prefix.format(own=f"{number:08x}"),
        )
        sent.append(Sent(at, reply.status == 200 and reply.complete))

    tasks = []
    for number in range(int(rate * seconds)):
        tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(1.0 / rate)
    await asyncio.gather(*tasks)


async def play_harmful_part(bed, prefix):
    """Send sound streams, after a while others with a harmful part beside them."""
    bed.fleet.crashing_part, bed.fleet.crash_time = HARMFUL, 2.0
    bed.fleet.keeps_layers = True
    sound, harmful = [], []
    sound_prefix = f"{SHARED}:800,{{own}}:250"
    seconds = QUIET_TIME + MIXED_TIME
    task = asyncio.ensure_future(
        send_at_rate(bed, SOUND_RATE, seconds, sound_prefix, sound)
    )
    await asyncio.sleep(QUIET_TIME)
    began = asyncio.get_running_loop().time()
    await send_at_rate(bed, HARMFUL_RATE, MIXED_TIME, prefix, harmful)
    await task
    runs = [run for run in bed.fleet.runs if HARMFUL in run.fields["prompt-prefix"]]
    crashes = [at for it in bed.fleet.replicas.values() for at in it.crashes]
    return Outcome(began, sorted(crashes), runs, sound)


class HarmfulPartTests(unittest.TestCase):
    """
    Guard against a part of prompts that ends one engine after the other.

    Requests with it come at every gateway, no two alike, and each ended two engines;
    sound streams found no engines any more.
    """

    def check(self, prefix, last_words=None):
        async def scenario(bed):
            bed.fleet.last_words = last_words
            return await play_harmful_part(bed, prefix)

        engines = full_engines()
        for replica in engines:
            replica.faults.unframed = last_words is not None
        outcome = run_on_testbed(scenario, engines)
        fifth = outcome.fifth_crash
        late = [it for it in outcome.harmful_runs if it.at > fifth + LEARNING_TIME]
        before = outcome.served_share(0.0, outcome.harmful_from)
        during = outcome.served_share(outcome.harmful_from)
        after = outcome.served_share(fifth + RECOVERY_TIME)
        with self.subTest("requests with the part reach no more replicas"):
            self.assertLessEqual(len(late), ALLOWED_RUNS)
        with self.subTest("sound streams go on to be served"):
            self.assertGreaterEqual(during, 0.5 * before)
        with self.subTest("sound streams are served after a while"):
            self.assertGreaterEqual(after, 0.5 * before)

    def test_part_in_the_middle(self):
        self.check(f"{SHARED}:800,{HARMFUL}:410,{{own}}:250")

    def test_engines_that_end_inside_the_first_event_of_an_unframed_stream(self):
        self.check(f"{SHARED}:800,{HARMFUL}:410,{{own}}:250", b"id: 1\ndata: wo")

    def test_engines_that_end_after_the_head_of_an_unframed_stream(self):
        self.check(f"{SHARED}:800,{HARMFUL}:410,{{own}}:250", b"")

    def test_part_at_the_start(self):
        self.check(f"{HARMFUL}:410,{SHARED}:800,{{own}}:250")


def prefix_with(*parts):
    """Return the header of a prompt with some shared parts."""
    return ",".join(f"{part}:100" for part in (*parts, "beef"))


def blocked_at(gateway, *parts):
    """Return whether a gateway refuses a prompt with some shared parts."""
    now = asyncio.get_running_loop().time()
    subjects = [Subject("gen", part) for part in parts]
    return gateway.crash_ledger.find_refusal(subjects, now) is not None


def note_ends(gateway, part=HARMFUL, service="gen", count=3):
    """Let a gateway see some endpoints end under a part just now."""
    now = asyncio.get_running_loop().time()
    for number in range(count):
        subject = Subject(service, part)
        gateway.crash_ledger.note_end(subject, (f"x{number}", 1), now)
    gateway.urgent_signal.notify()


class OrdinaryCrashTests(unittest.TestCase):
    """Guard against refusals after crashes that no prompt has caused."""

    def serve_beside_crashes(self, crash):
        """Return the share of sound streams served after crashes, and the refusals."""

        async def scenario(bed):
            bed.fleet.keeps_layers, sound = True, []
            prefix = f"{SHARED}:800,{{own}}:250"
            task = asyncio.ensure_future(
                send_at_rate(bed, SOUND_RATE, 10.0, prefix, sound)
            )
            await asyncio.sleep(QUIET_TIME)
            await crash(bed.fleet, list(bed.fleet.replicas.values()))
            ended_at = asyncio.get_running_loop().time()
            await task
            served = [it.served for it in sound if it.at > ended_at]
            name = "refused: harmful-part"
            refusals = sum(gateway.counters[name] for gateway in bed.gateways)
            return sum(served) / len(served), refusals

        engines = full_engines()
        for replica in engines:
            # Many streams wait for their second event when an engine crashes.
            replica.event_time = 0.15
        return run_on_testbed(scenario, engines)

    def test_engines_that_crash_one_after_the_other(self):
        async def crash(fleet, replicas):
            fleet.crash_time = 0.3
            for replica in replicas:
                await fleet.crash(replica)

        self.assertEqual(self.serve_beside_crashes(crash), (1.0, 0))

    def test_engines_that_crash_at_once(self):
        async def crash(fleet, replicas):
            await asyncio.gather(*(fleet.crash(replica) for replica in replicas))
            await asyncio.sleep(0.5)

        self.assertEqual(self.serve_beside_crashes(crash), (1.0, 0))


class SpreadTests(unittest.TestCase):
    """Guard against gateways that learn of a harmful part each by its own losses."""

    def test_evidence_reaches_another_gateway_at_once(self):
        async def scenario(bed):
            note_ends(bed.gateways[0])
            await asyncio.sleep(0.05)
            return [blocked_at(gateway, HARMFUL) for gateway in bed.gateways]

        self.assertEqual(run_on_testbed(scenario, full_engines(1)), [True, True])

    def test_gateway_that_starts_later_learns_of_the_block(self):
        async def scenario(bed):
            note_ends(bed.gateways[0])
            await asyncio.sleep(5.0)
            async with AsyncExitStack() as stack:
                settings = decode_settings(sample_settings(2))
                gateway = await start_gateway(stack, bed, settings, seed=1)
                await gateway.view.changed.wait_until(lambda: gateway.ready, 5.0)
                await asyncio.sleep(0.5)
                return blocked_at(gateway, HARMFUL), blocked_at(gateway, SHARED)

        self.assertEqual(run_on_testbed(scenario, full_engines(1)), (True, False))

    def test_evidence_reaches_every_gateway_of_a_large_fleet(self):
        async def scenario(bed):
            await asyncio.sleep(SETTLING)
            note_ends(bed.gateways[11])
            await asyncio.sleep(0.3)
            return [blocked_at(gateway, HARMFUL) for gateway in bed.gateways]

        found = run_on_testbed(scenario, full_engines(1), **LARGE)
        self.assertEqual(found, [True] * 12)

    def test_proof_of_one_gateway_ends_the_block_at_every_gateway(self):
        async def scenario(bed):
            await asyncio.sleep(SETTLING)
            note_ends(bed.gateways[11], part=SHARED)
            now = asyncio.get_running_loop().time()
            subject = Subject("gen", SHARED)
            bed.gateways[0].crash_ledger.note_proof(subject, now - 5.0)
            await asyncio.sleep(1.0)
            return [blocked_at(gateway, SHARED) for gateway in bed.gateways]

        found = run_on_testbed(scenario, full_engines(1), **LARGE)
        self.assertEqual(found, [False] * 12)

    def test_evidence_ends_everywhere_although_gateways_repeat_it(self):
        async def scenario(bed):
            await asyncio.sleep(SETTLING)
            note_ends(bed.gateways[11])
            await asyncio.sleep(EVIDENCE_TIME + 2.0)
            return [len(gateway.crash_ledger.ends) for gateway in bed.gateways]

        with mock.patch.object(platform_testbed, "DATAGRAM_LATENCY", 0.15):
            found = run_on_testbed(scenario, full_engines(1), **LARGE)
        self.assertEqual(found, [0] * 12)


class AliveTests(unittest.TestCase):
    """Guard against blocks by ends of engines that go on, as other gateways tell."""

    def check(self, distance):
        """Return whether a part is refused whose engine is heard of after its end."""

        async def scenario(bed):
            gateway = bed.gateways[0]
            note_ends(gateway)
            now = asyncio.get_running_loop().time()
            state = gateway.endpoint_states.states[("x1", 1)] = EndpointState()
            state.note_heard(now + 0.5, distance)
            refute_ends(gateway, now + 1.0)
            return blocked_at(gateway, HARMFUL)

        return run_on_testbed(scenario, full_engines(1), gateways=1)

    def test_late_report_of_another_gateway_refutes_nothing(self):
        self.assertTrue(self.check(distance=2))

    def test_report_of_the_gateway_that_has_heard_of_it_refutes_the_end(self):
        self.assertFalse(self.check(distance=1))


class RepeatTests(unittest.TestCase):
    """Guard against repetitions that end the next engine."""

    def test_four_requests_end_three_engines(self):
        async def scenario(bed):
            bed.fleet.crashing_part, bed.fleet.keeps_layers = HARMFUL, True
            statuses = []
            for number in range(4):
                prefix = prefix_with(SHARED, HARMFUL)
                reply = await bed.call(
                    "/draft/1", gateway=number % 2, Prompt_Prefix=prefix
                )
                statuses.append(reply.status)
                await asyncio.sleep(0.5)
            return statuses, [run.request_id for run in bed.fleet.runs]

        statuses, runs = run_on_testbed(scenario, full_engines())
        self.assertEqual(statuses, [502, 502, 503, 503])
        self.assertEqual(sorted(runs), ["r1", "r1", "r2"])

    def test_run_that_is_the_second_end_is_not_repeated(self):
        async def scenario(bed):
            bed.fleet.crashing_part, bed.fleet.keeps_layers = HARMFUL, True
            note_ends(bed.gateways[0], count=1)
            prefix = prefix_with(SHARED, HARMFUL)
            reply = await bed.call("/draft/1", Prompt_Prefix=prefix)
            return reply.status, len(bed.fleet.runs)

        self.assertEqual(run_on_testbed(scenario, full_engines()), (502, 1))

    def test_no_second_run_begins_beside_a_silent_one(self):
        async def scenario(bed):
            note_ends(bed.gateways[0], count=2)
            now = asyncio.get_running_loop().time()
            for replica in bed.fleet.replicas.values():
                replica.faults.silent_until = now + 1.0
            reply = await bed.call("/draft/1", Prompt_Prefix=prefix_with(HARMFUL))
            return reply.status, reply.complete, len(bed.fleet.runs)

        self.assertEqual(run_on_testbed(scenario, full_engines()), (200, True, 1))


class RefusalTests(unittest.TestCase):
    """Guard against requests that reach an engine although their part is known."""

    def test_stream_is_refused_at_once_with_the_time_that_is_left(self):
        async def scenario(bed):
            note_ends(bed.gateways[0])
            return await bed.call("/draft/1", Prompt_Prefix=prefix_with(HARMFUL)), len(
                bed.fleet.runs
            )

        reply, runs = run_on_testbed(scenario, full_engines(1))
        self.assertEqual((reply.status, runs), (503, 0))
        self.assertAlmostEqual(
            float(reply.headers["Retry-After"]), EVIDENCE_TIME, delta=0.1
        )

    def call_while_evidence_arrives(self, path, replicas, service):
        """Return the reply if ends become known during the wait for a connection."""

        acquire = ConnectionPool.acquire

        async def scenario(bed):
            async def acquire_late(*arguments):
                connection = await acquire(*arguments)
                note_ends(bed.gateways[0], service=service)
                return connection

            with mock.patch.object(ConnectionPool, "acquire", acquire_late):
                reply = await bed.call(path, Prompt_Prefix=prefix_with(HARMFUL))
            return reply.status, len(bed.fleet.runs)

        return run_on_testbed(scenario, replicas)

    def test_stream_that_waits_for_a_connection_is_refused(self):
        found = self.call_while_evidence_arrives("/draft/1", full_engines(2), "gen")
        self.assertEqual(found, (503, 0))

    def test_plain_request_that_waits_for_a_connection_is_refused(self):
        found = self.call_while_evidence_arrives("/look/1", plain_replicas(), "stock")
        self.assertEqual(found, (503, 0))

    def test_plain_requests_are_refused_once_replicas_have_ended(self):
        async def scenario(bed):
            for replica in bed.fleet.replicas.values():
                replica.faults.lose_answer = True
            prefix = prefix_with(HARMFUL)
            replies = [
                await bed.call(f"/look/{number}", Prompt_Prefix=prefix)
                for number in range(20)
            ]
            used = [it for it in bed.fleet.replicas.values() if it.runs]
            return replies[0].status, replies[-1].status, len(used)

        found = run_on_testbed(scenario, plain_replicas(6))
        self.assertEqual(found, (502, 503, 3))

    def test_session_of_the_request_is_never_held_responsible(self):
        async def scenario(bed):
            note_ends(bed.gateways[0])
            reply = await bed.call("/draft/1", Prompt_Prefix=f"{SHARED}:8,{HARMFUL}:2")
            return reply.status

        self.assertEqual(run_on_testbed(scenario, full_engines(1)), 200)
