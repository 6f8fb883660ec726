import asyncio
import tracemalloc
import unittest
from unittest import mock

import attrs

from lentilhaven.gateway.gateway import Gateway
from lentilhaven.gateway.program import reload_settings
from lentilhaven.gateway.tests.platform_testbed import (
    CALLER_TIMEOUT,
    KEY,
    engine,
    plain_replicas,
    run_on_testbed,
    sample_settings,
)
from lentilhaven.platform.settings import decode_settings
from lentilhaven.standins.platform.sample_files import request_headers
from lentilhaven.upstream.answer_memory import DEFAULT_LIMIT

#: Callers that meet replicas with an answer without end at the same time.
CALLERS = 50

#: Callers whose streams one engine has room for.
ENGINE_CALLERS = 8

#: Seconds of the event loop within which they are answered; a route for plain services
#: times out after 0.8 s.
PROMPT_TIME = 0.4

#: Bytes that the whole testbed may hold besides: requests, connections, and the buffers
#: of 50 stand-ins.
TESTBED_BYTES = 48_000_000

#: Size of a large answer of a sound replica, in bytes.
LARGE_BYTES = 6_000_000


def call_endless(path, replicas, endless, callers=CALLERS, **faults):
    """
    Return the replies of many callers to answers without end, and the first gateway.

    Parameters
    ----------
    path : str
        Path of the requests.
    replicas : list of FakeReplica
        Replicas, of which those in `endless` answer without end.
    endless : dict
        Value of the fault `endless` by replica id.
    callers : int
        Number of callers.
    faults
        Other faults of these replicas.

    Returns
    -------
    tuple of (list of Reply, Gateway, int)
        The last is the peak of the allocated memory in bytes.
    """

    async def scenario(bed):
        for name, part in endless.items():
            replica_faults = bed.fleet.replicas[name].faults
            replica_faults.endless = part
            for field, value in faults.items():
                setattr(replica_faults, field, value)
        method = "GET" if path.startswith("/look") else "POST"
        tracemalloc.start()
        try:
            replies = await asyncio.gather(
                *(bed.call(path, method) for _ in range(callers))
            )
            peak = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        return replies, bed.gateways[0], peak

    return run_on_testbed(scenario, replicas)


def wide_engines():
    """Return two engines that hold all layers and have room for all callers."""
    return [engine(name, 0, 8, "large", slots=2 * CALLERS) for name in ("a", "b")]


class EndlessAnswerTests(unittest.TestCase):
    """Guard against answers without end that are held until the deadline."""

    def check_prompt(self, found, statuses):
        replies, gateway, peak = found
        self.assertEqual({reply.status for reply in replies}, statuses)
        self.assertLess(max(reply.seconds for reply in replies), PROMPT_TIME)
        memory = gateway.pool.memory
        self.assertEqual(memory.held, 0)
        self.assertLessEqual(memory.peak, memory.limit)
        self.assertLess(peak, memory.limit + TESTBED_BYTES)

    def test_request_that_must_not_be_repeated_fails_at_once(self):
        for part in ("head", "body"):
            with self.subTest(part=part):
                found = call_endless("/post/1", plain_replicas(1), {"i-stock-0": part})
                self.check_prompt(found, {502})

    def test_request_that_may_be_repeated_goes_to_another_replica(self):
        for part in ("head", "body"):
            with self.subTest(part=part):
                found = call_endless("/look/1", plain_replicas(2), {"i-stock-0": part})
                self.check_prompt(found, {200})

    def test_stream_that_must_not_be_repeated_fails_at_once(self):
        for part in ("head", "body", "event"):
            with self.subTest(part=part):
                found = call_endless(
                    "/once/1", wide_engines(), {"i-a": part, "i-b": part}
                )
                self.check_prompt(found, {502})

    def test_stream_that_may_be_resumed_goes_to_another_engine(self):
        for part in ("head", "body", "event"):
            with self.subTest(part=part):
                replies, gateway, _ = call_endless(
                    "/draft/1", wide_engines(), {"i-a": part}, ENGINE_CALLERS
                )
                self.assertTrue(all(it.complete for it in replies))
                for reply in replies:
                    self.assertEqual(reply.event_ids, list(range(1, 11)))
                self.assertEqual(gateway.pool.memory.held, 0)

    def test_replica_gets_a_failure(self):
        _, gateway, _ = call_endless(
            "/post/1", plain_replicas(1), {"i-stock-0": "body"}, callers=1
        )
        endpoint = gateway.view.endpoints["i-stock-0"]
        self.assertGreater(gateway.endpoint_states.of(endpoint).failures, 0.0)


class LargeAnswerTests(unittest.TestCase):
    """Guard against bounds that sound answers exceed."""

    def test_answer_of_several_megabytes_passes(self):
        replicas = plain_replicas(1)
        replicas[0].extra_bytes = LARGE_BYTES

        async def scenario(bed):
            reply = await bed.call("/look/1", "GET")
            return reply, bed.gateways[0].pool.memory.held

        reply, held = run_on_testbed(scenario, replicas)
        self.assertEqual((reply.status, held), (200, 0))
        self.assertGreater(len(reply.body), LARGE_BYTES)

    def test_answer_counts_until_its_caller_has_taken_it(self):
        replicas = plain_replicas(1)
        replicas[0].extra_bytes = LARGE_BYTES

        async def scenario(bed):
            fields = request_headers("r1", KEY, CALLER_TIMEOUT)
            url = "http://10.0.0.1:7000/look/1"
            async with bed.session.get(url, headers=fields) as response:
                await asyncio.sleep(1.0)
                held = bed.gateways[0].pool.memory.held
                size = len(await response.read())
            await asyncio.sleep(0.1)
            return held, size, bed.gateways[0].pool.memory.held

        held, size, left = run_on_testbed(scenario, replicas)
        self.assertEqual((held, left), (size, 0))


class MemoryOfTheVmTests(unittest.TestCase):
    """Guard against a bound that does not follow the memory of the VM."""

    def limit_of(self, memory_mb):
        settings = sample_settings(0)
        settings["limits"] = {"memory_mb": memory_mb} if memory_mb else {}
        return Gateway(decode_settings(settings)).pool.memory.limit

    def test_limit_is_a_share_of_it(self):
        self.assertEqual(self.limit_of(552), 69_000_000)
        self.assertEqual(self.limit_of(0), DEFAULT_LIMIT)

    def test_limit_follows_the_settings_file(self):
        gateway = Gateway(decode_settings(sample_settings(0)))
        changed = attrs.evolve(gateway.settings, memory=400_000_000)
        with mock.patch(
            "lentilhaven.gateway.program.read_settings", return_value=changed
        ):
            reload_settings(gateway)
        self.assertEqual(gateway.pool.memory.limit, 50_000_000)
        self.assertEqual(gateway.body_memory.limit, 50_000_000)
