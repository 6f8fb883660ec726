import asyncio
import contextlib
import unittest
from collections import Counter
from random import Random

from lentilhaven.core.invariants import VIOLATIONS
from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    two_chains,
)
from lentilhaven.standins.platform.fake_replica import ReplicaFaults

#: Seeds that run in CI.
SEEDS = range(8)

#: Number of requests and faults in each run, and the seconds over which they are
#: spread.
REQUESTS, FAULTS, SECONDS = 40, 16, 8.0

#: Output tokens of each stream, and the number of events that carry them.
OUTPUT, EVENTS = 80, 20

#: Share of the callers who leave before their answer has ended.
LEAVING_SHARE = 0.2

#: Seconds after which nothing may be left of a request: time limits of routes.
REST = 21.0

#: Statuses that say that a request has not run.
REFUSALS = (408, 421, 429, 503)


class SilentRun:
    """Requests beside silences and breaks of both chains, and their replies."""

    def __init__(self, seed):
        self.random = Random(seed)
        self.replies = []

    async def run(self, bed):
        """Send the requests, inject the faults, and wait until all has ended."""
        jobs = [self.call(bed, number) for number in range(REQUESTS)]
        jobs += [self.inject_fault(bed) for _ in range(FAULTS)]
        await asyncio.gather(*jobs)
        await asyncio.sleep(REST)
        return bed

    async def call(self, bed, number):
        """Send one request at a random time; some callers leave early."""
        at = self.random.uniform(0, SECONDS)
        leaves = self.random.random() < LEAVING_SHARE
        patience = self.random.uniform(0.01, 1.2) if leaves else None
        name = self.random.choice(("draft", "draft", "draft", "once", "look"))
        gateway, request = self.random.randrange(2), f"x{number}"
        await asyncio.sleep(at)
        method = "GET" if name == "look" else "POST"
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(patience):
                reply = await bed.call(
                    f"/{name}/{request}",
                    method,
                    gateway,
                    output=OUTPUT,
                    Request_Id=request,
                )
                self.replies.append((name, request, reply))

    async def inject_fault(self, bed):
        """Inject one fault at a random time, for a random time."""
        at, duration = self.random.uniform(0, SECONDS), self.random.uniform(0.2, 1.4)
        kind = self.random.choice(
            ("silent", "silent", "silent", "shed", "break", "inside", "reset", "edit")
        )
        number = self.random.randrange(100)
        await asyncio.sleep(at)
        replicas = list(bed.fleet.replicas.values())
        replica = replicas[number % len(replicas)]
        if kind == "silent":
            now = asyncio.get_running_loop().time()
            replica.faults.silent_until = now + duration
            return
        if kind == "edit":
            manifest = sample_manifest(bed.store.revision + 10)
            bed.store.put("config", "main", manifest)
            return
        if kind == "reset":
            for writer in list(replica.writers):
                writer.transport.abort()
            return
        if kind == "shed":
            replica.faults.shed = True
        if kind == "break":
            replica.faults.stop_after = 1 + number % EVENTS
        if kind == "inside":
            replica.faults.unframed = replica.faults.ends_inside = True
            replica.faults.stop_after = 1 + number % EVENTS
        await asyncio.sleep(duration)
        replica.faults = ReplicaFaults(silent_until=replica.faults.silent_until)


class SilenceGuaranteeTests(unittest.TestCase):
    """Guard against answers and runs that a second run beside the first would spoil."""

    def run_seed(self, seed):
        """Return the test bed and the replies of one run."""
        VIOLATIONS.clear()
        played = SilentRun(seed)
        replicas = two_chains() + plain_replicas(3)
        bed = run_on_testbed(played.run, replicas, seed=seed + 1)
        return bed, played.replies

    def test_guarantees_hold_beside_silences(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                bed, replies = self.run_seed(seed)
                self.assertEqual(dict(VIOLATIONS), {})
                self.assertEqual(bed.fleet.invalid_paths, [])
                runs = Counter(run.request_id for run in bed.fleet.runs)
                targets = {run.request_id: run.target for run in bed.fleet.runs}
                for request, count in runs.items():
                    limit = 1 if targets[request].startswith("/once/") else 2
                    self.assertLessEqual(count, limit, request)
                for name, request, reply in replies:
                    self.check(name, request, reply, runs[request])
                self.check_nothing_left(bed)

    def check(self, name, request, reply, runs):
        """Check one reply: whole, visibly broken, or refused without a run."""
        if reply.status in REFUSALS and name != "look":
            self.assertEqual(runs, 0, request)
        if reply.status != 200 or name == "look":
            return
        expected = list(range(1, EVENTS + 1))
        if not reply.complete:
            expected = expected[: len(reply.event_ids)]
        self.assertEqual(reply.event_ids, expected, request)

    def check_nothing_left(self, bed):
        """Check that no request is counted at any endpoint."""
        for gateway in bed.gateways:
            for incarnation, state in gateway.endpoint_states.states.items():
                self.assertEqual(state.requests, 0, incarnation)
                self.assertAlmostEqual(state.kv_token_layers, 0.0, 6, incarnation)
