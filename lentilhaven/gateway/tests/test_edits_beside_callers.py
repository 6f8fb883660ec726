import asyncio
import unittest
from random import Random

from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    two_chains,
)
from lentilhaven.gateway.tests.raw_caller import RawCaller, raw_request
from lentilhaven.standins.platform.sample_files import routes_of_each_kind

#: Seeds that run in CI.  A seed that has failed stays here, with its cause.
SEEDS = range(2)

#: Number of callers, and seconds during which they send requests.
CALLERS, SECONDS = 60, 30.0

#: Share of the stated idle time for which callers reuse a connection.
REUSED_SHARE = 0.95

#: Longest pause of a caller between two requests, in seconds.
LONGEST_PAUSE = 8.0

#: Longest time from a look at a connection to the arrival of a request on it, in
#: seconds.
MAX_TRANSIT_TIME = 0.15

#: Seconds for which a caller waits for an answer, longer than any route's timeout.
PATIENCE = 30.0

#: Idle timeouts of the edits, in milliseconds.
IDLE_TIMEOUTS = (999, 1_000, 1_500, 2_000, 3_500, 8_000, 30_000)


class EditedRun:
    """
    Callers on kept connections beside edits and replicas that fall silent.

    Attributes
    ----------
    answers : list of (str, RawAnswer)
        Path and answer of each answered request.
    lost : list of str
        Paths of the requests that got neither an answer nor a refusal.
    reused : int
        Number of requests on connections that had carried another one.
    """

    def __init__(self, seed):
        self.random = Random(seed)
        self.answers = []
        self.lost = []
        self.reused = 0
        self.idle_limit = 30.0

    async def run(self, bed):
        """Run callers, edits and faults, and return this object."""
        self.until = asyncio.get_running_loop().time() + SECONDS
        background = [
            asyncio.ensure_future(it) for it in (self.edit(bed), self.disturb(bed))
        ]
        await asyncio.gather(*(self.call(number) for number in range(CALLERS)))
        for task in background:
            task.cancel()
        return self

    async def call(self, number):
        """Send requests on one connection after the other."""
        loop = asyncio.get_running_loop()
        caller, limit, count = None, 0.0, 0
        while loop.time() < self.until:
            longest = REUSED_SHARE * min(limit, LONGEST_PAUSE)
            pause = self.random.choice((0.1, self.random.uniform(0.0, longest)))
            await asyncio.sleep(pause)
            if caller is None or caller.sees_close or pause >= limit:
                caller = await RawCaller.connect()
            else:
                self.reused += 1
            # The request is on its way while the gateway may close the connection.
            await asyncio.sleep(self.random.uniform(0.0, MAX_TRANSIT_TIME))
            count += 1
            answer = await self.ask(caller, f"{number}-{count}")
            if answer is None or not answer.complete:
                caller = None
                continue
            limit = min(answer.idle_time, self.idle_limit)

    async def ask(self, caller, name):
        """Send one request and record its answer."""
        kind = self.random.choice(("draft", "once", "post", "look", "look"))
        is_stream = kind in ("draft", "once")
        path = f"/{kind}/{name}"
        body = None if kind == "look" else b"count 7"
        request = raw_request(path, name, body, 40 if is_stream else 0)
        answer = await caller.ask(request, PATIENCE)
        if answer is None:
            self.lost.append(path)
        else:
            self.answers.append((path, answer))
        return answer

    async def edit(self, bed):
        """Change the limits, routes and services two to three times a second."""
        version = 1
        while True:
            await asyncio.sleep(self.random.uniform(0.33, 0.5))
            version += self.random.randint(1, 3)
            idle_ms = self.random.choice(IDLE_TIMEOUTS)
            self.idle_limit = idle_ms / 1000
            bed.store.put("config", "main", self.make_manifest(version, idle_ms))

    def make_manifest(self, version, idle_ms):
        """Return a manifest with other limits, time limits and services."""
        routes = routes_of_each_kind()
        for route in routes:
            route["timeout_ms"] += self.random.choice((0, 200))
            route["priority"] = self.random.randrange(3)
        self.random.shuffle(routes)
        limits = {
            "max_body_bytes": self.random.choice((100_000, 1_000_000)),
            "idle_timeout_ms": idle_ms,
        }
        manifest = sample_manifest(version, routes=routes, limits=limits)
        manifest["services"][1]["max_connections"] = self.random.choice((20, 50))
        return manifest

    async def disturb(self, bed):
        """Let replicas fall silent, and answer without a length."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self.random.uniform(0.2, 1.5))
            replica = self.random.choice(list(bed.fleet.replicas.values()))
            replica.faults.unframed = self.random.random() < 0.5
            replica.faults.silent_until = loop.time() + self.random.uniform(0.4, 1.4)


class EditTests(unittest.TestCase):
    """Beside an edit, whole requests got neither an answer nor a refusal."""

    def test_every_whole_request_is_answered_or_refused(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                replicas = two_chains() + plain_replicas(3)
                run = run_on_testbed(EditedRun(seed).run, replicas, seed=seed + 1)
                self.assertEqual(run.lost, [])
                cut = [path for path, it in run.answers if not it.complete]
                self.assertEqual(cut, [])
                self.assertGreater(run.reused, 10 * CALLERS)
