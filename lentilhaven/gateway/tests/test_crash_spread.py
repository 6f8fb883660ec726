"""Spread of the evidence about requests that end endpoints, from gateway to gateway."""

import asyncio
import unittest
from contextlib import AsyncExitStack, contextmanager
from unittest import mock

from lentilhaven.crashes import breaker, ledger
from lentilhaven.crashes.ledger import LATEST_TIME
from lentilhaven.gateway import crash_checks
from lentilhaven.gateway.crash_checks import TRIAL_INTERVAL
from lentilhaven.gateway.peer_exchange import PROBE_INTERVAL
from lentilhaven.gateway.tests import platform_testbed
from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    sample_settings,
    start_gateway,
)
from lentilhaven.gateway.tests.test_call import make_call
from lentilhaven.gateway.tests.test_crashing_requests import (
    ALLOWED_ARRIVALS,
    LEARNING_TIME,
    crash_times,
)
from lentilhaven.gateway.tests.test_large_fleet import LARGE, SETTLING
from lentilhaven.platform.settings import decode_settings
from lentilhaven.standins.platform.fake_replica import CrashingRequest
from lentilhaven.standins.platform.fake_store import StoreState

#: Path of requests that are not repeated, so that each ends one replica.
PATH = "/post/7"

#: Body of the request that ends replicas: of some, that with the last digest in
#: alphabetical order, so that it is last where bystanders are equal otherwise.
CRASHING_BODY = max(
    (b"count of meter %d" % number for number in range(100)),
    key=lambda it: make_call(target=PATH, body=it).digest,
)

#: Seconds for which evidence and the first refusal last here.
EVIDENCE_TIME, FIRST_HOLD = 16.0, 20.0

#: Seconds after the time of refusal by which any gateway may begin the trial.
MAX_TRIAL_DELAY = 10.0

#: Path of requests with a second attempt.
REPEATABLE_PATH = "/look/7"

#: Gateways of a small fleet.
SMALL = {"gateways": 4}

#: Seconds from the third end until every gateway refuses the request.
SPREAD_TIME = 0.5

#: Seconds for which bystanders run.
BYSTANDER_TIME = 5.0

#: Seconds from one request that ends its replica to the next.
CRASH_INTERVAL = 0.2


def patient_manifest():
    """Return a manifest with which hundreds of slow requests run on each replica."""
    manifest = sample_manifest()
    for route in manifest["routes"]:
        route["timeout_ms"] = 20_000
    for service in manifest["services"]:
        service["max_connections"] = 1000
    return manifest


async def start_bystanders(bed, gateways, count):
    """Start slow requests, no two alike, through some gateways."""
    for replica in bed.fleet.replicas.values():
        replica.faults.delay = BYSTANDER_TIME
    tasks = [
        asyncio.ensure_future(
            bed.call(PATH, gateway=gateway, body=b"%d of %d" % (number, gateway))
        )
        for gateway in gateways
        for number in range(count)
    ]
    await asyncio.sleep(0.5)
    for replica in bed.fleet.replicas.values():
        replica.faults.delay = 0.0
    return tasks


async def end_replicas(bed, gateways, path=PATH):
    """Let a request end one replica through each of some gateways in turn."""
    expected = len(crash_times(bed))
    for gateway in gateways:
        expected += 1
        # A replica that has just ended may refuse the connection, and a second attempt
        # may have ended one more.
        while len(crash_times(bed)) < expected:
            await bed.call(path, gateway=gateway, body=CRASHING_BODY)
            await asyncio.sleep(CRASH_INTERVAL)


async def call_all(bed, gateways=None, path=PATH):
    """Return the status of a request through each gateway at the same time."""
    numbers = range(len(bed.gateways)) if gateways is None else gateways
    replies = [bed.call(path, gateway=it, body=CRASHING_BODY) for it in numbers]
    return [reply.status for reply in await asyncio.gather(*replies)]


@contextmanager
def short_times():
    """Let evidence and refusals lapse much sooner than they do otherwise."""
    with (
        mock.patch.object(breaker, "FIRST_HOLD", FIRST_HOLD),
        mock.patch.object(ledger, "FIRST_HOLD", FIRST_HOLD),
        mock.patch.object(ledger, "REQUEST_EVIDENCE_TIME", EVIDENCE_TIME),
        mock.patch.object(ledger, "REQUEST_PASSED_TIME", EVIDENCE_TIME - 2.0),
        mock.patch.object(ledger, "EVIDENCE_TIME", EVIDENCE_TIME),
        mock.patch.object(ledger, "PASSED_TIME", EVIDENCE_TIME - 2.0),
    ):
        yield


def in_fleet(use, replicas=12, **options):
    """Run ``use(bed)`` once the gateways have found each other."""

    async def settled(bed):
        for path in (PATH, REPEATABLE_PATH):
            rule = CrashingRequest("depot", "POST", path, CRASHING_BODY)
            bed.fleet.crashing_requests.append(rule)
        bed.fleet.crash_time = 1.0
        if len(bed.gateways) > SMALL["gateways"]:
            await asyncio.sleep(SETTLING)
        return await use(bed)

    found = plain_replicas(replicas)
    for replica in found:
        replica.slots = 1000
    return run_on_testbed(settled, found, manifest=patient_manifest(), **options)


class SpreadTests(unittest.TestCase):
    """Guard against three ends that three gateways see, so that none adds them up."""

    #: Requests that run beside through each of the three gateways.
    BYSTANDERS = 480

    def check(self, options):
        async def use(bed):
            # In a large fleet these gateways are in three data centres.
            tasks = await start_bystanders(bed, (0, 1, 2), self.BYSTANDERS)
            await end_replicas(bed, (0, 1, 2))
            lost = sum(task.done() for task in tasks)
            await asyncio.sleep(SPREAD_TIME - CRASH_INTERVAL)
            refused = await call_all(bed)
            for task in tasks:
                task.cancel()
            return lost, refused, len(bed.fleet.crashing_request_arrivals)

        lost, refused, arrivals = in_fleet(use, replicas=6, **options)
        # At each of the three gateways, for each of the ends.
        self.assertGreater(lost, 9 * 30)
        self.assertEqual(set(refused), {503})
        self.assertEqual(arrivals, 3)

    def test_small_fleet(self):
        self.check(SMALL)

    def test_large_fleet(self):
        self.check(LARGE)

    def test_request_with_few_bystanders_at_a_cut_link(self):
        """The two gateways that can't reach each other learn by way of the others."""

        async def use(bed):
            hosts = [gateway.settings.address for gateway in bed.gateways[:2]]
            bed.datagram_network.cut_links.add(frozenset(hosts))
            await end_replicas(bed, (0, 1, 2))
            await asyncio.sleep(SPREAD_TIME - CRASH_INTERVAL)
            return await call_all(bed), len(bed.fleet.crashing_request_arrivals)

        for options in (SMALL, LARGE):
            with self.subTest(options=options):
                refused, arrivals = in_fleet(use, **options)
                self.assertEqual((set(refused), arrivals), ({503}, 3))


class LossTests(unittest.TestCase):
    """Guard against evidence that is lost with datagrams, a gateway or the store."""

    def late_arrivals(self, options, share, is_down=False):
        """Return the arrivals from 3 s after the third crash, and the last statuses."""

        async def use(bed):
            bed.datagram_network.lost_share = share
            if is_down:
                bed.store.state = StoreState.SILENT
            await end_replicas(bed, (0, 1, 2))
            await asyncio.sleep(LEARNING_TIME)
            before = len(bed.fleet.crashing_request_arrivals)
            for _ in range(10):
                statuses = await call_all(bed)
                await asyncio.sleep(0.5)
            return len(bed.fleet.crashing_request_arrivals) - before, set(statuses)

        return in_fleet(use, **options)

    def check(self, options, share, **other):
        arrivals, statuses = self.late_arrivals(options, share, **other)
        self.assertLessEqual(arrivals, ALLOWED_ARRIVALS)
        self.assertEqual(statuses, {503})

    def test_a_fifth_of_the_datagrams_in_a_small_fleet(self):
        self.check(SMALL, 0.2)

    def test_half_of_the_datagrams_in_a_small_fleet(self):
        self.check(SMALL, 0.5)

    def test_a_fifth_of_the_datagrams_in_a_large_fleet(self):
        self.check(LARGE, 0.2)

    def test_half_of_the_datagrams_in_a_large_fleet(self):
        self.check(LARGE, 0.5)

    def test_store_in_a_large_fleet(self):
        self.check(LARGE, 0.2, is_down=True)

    def refusal_after_cut(self, options, seconds, wait=SPREAD_TIME):
        """Return the status at a gateway that was cut off during the crashes."""

        async def use(bed):
            host = bed.gateways[-1].settings.address
            bed.datagram_network.cut.add(host)
            await end_replicas(bed, (0, 1, 2))
            await asyncio.sleep(seconds)
            bed.datagram_network.cut.clear()
            await asyncio.sleep(wait)
            statuses = await call_all(bed, [len(bed.gateways) - 1])
            return statuses, len(bed.fleet.crashing_request_arrivals)

        return in_fleet(use, **options)

    def test_gateway_that_is_cut_off_for_some_seconds(self):
        self.assertEqual(self.refusal_after_cut(SMALL, 5.0), ([503], 3))

    def test_gateway_that_is_cut_off_for_a_minute(self):
        self.assertEqual(self.refusal_after_cut(SMALL, 70.0), ([503], 3))

    def test_gateway_of_a_large_fleet_that_is_cut_off_for_some_seconds(self):
        # It has given up its leaders, and finds them by a probe.
        wait = PROBE_INTERVAL + SPREAD_TIME
        self.assertEqual(self.refusal_after_cut(LARGE, 5.0, wait), ([503], 3))


class LateStartTests(unittest.TestCase):
    """Guard against gateways that start after the crashes and know nothing of them."""

    def check(self, options, wait, path=PATH):
        """
        Return the statuses at a new gateway and at all, and the number of arrivals.

        ``wait(bed)`` runs between the third crash and the start.
        """

        async def use(bed):
            await end_replicas(bed, (0, 1, 2), path)
            # The refusal opens the breaker.
            await call_all(bed, path=path)
            await wait(bed)
            before = len(bed.fleet.crashing_request_arrivals)
            async with AsyncExitStack() as stack:
                count = options.get("data_centres", 1)
                settings = sample_settings(len(bed.gateways), data_centres=count)
                gateway = await start_gateway(
                    stack, bed, decode_settings(settings), seed=1
                )
                limit = bed.gateways[0].peers.directory.full_mesh_limit
                gateway.peers.directory.full_mesh_limit = limit
                await gateway.view.changed.wait_until(lambda: gateway.ready, 5.0)
                await asyncio.sleep(SPREAD_TIME)
                reply = await bed.call(
                    path, gateway=len(bed.gateways) - 1, body=CRASHING_BODY
                )
                await asyncio.sleep(SPREAD_TIME)
                statuses = await call_all(bed, path=path)
                return (
                    reply.status,
                    set(statuses),
                    len(bed.fleet.crashing_request_arrivals) - before,
                )

        with short_times():
            return in_fleet(use, **options)

    def test_evidence_that_is_no_longer_late(self):
        async def wait(bed):
            await asyncio.sleep(2 * LATEST_TIME)

        for options in (SMALL, LARGE):
            with self.subTest(options=options):
                self.assertEqual(self.check(options, wait), (503, {503}, 0))

    def test_breaker_without_evidence(self):
        async def wait(bed):
            await asyncio.sleep(FIRST_HOLD + MAX_TRIAL_DELAY)
            # The trial.
            await end_replicas(bed, [1])
            await asyncio.sleep(EVIDENCE_TIME + 5.0)

        for options in (SMALL, LARGE):
            with self.subTest(options=options):
                self.assertEqual(self.check(options, wait), (503, {503}, 0))

    def test_half_open_breaker(self):
        """The new gateway makes the trial, and does not repeat it."""

        async def wait(bed):
            await asyncio.sleep(FIRST_HOLD + MAX_TRIAL_DELAY)

        for options in (SMALL, LARGE):
            turns = mock.patch.object(crash_checks, "TRIAL_INTERVAL", 0.0)
            with self.subTest(options=options), turns:
                found = self.check(options, wait, REPEATABLE_PATH)
                self.assertEqual(found, (502, {503}, 1))


class TrialTests(unittest.TestCase):
    """Guard against trials at every gateway, each of which ends a replica."""

    async def refuse_until_trial(self, bed):
        """Let a request be refused until its trial may begin at any gateway."""
        await end_replicas(bed, (0, 1, 2))
        await call_all(bed)
        await asyncio.sleep(FIRST_HOLD + MAX_TRIAL_DELAY)
        return len(bed.fleet.crashing_request_arrivals)

    def check_all(self, use, expected, interval=0.0):
        """
        Check the result of ``use(bed)`` in a small and in a large fleet.

        With the interval 0 any gateway begins the trial as soon as it is asked.
        """
        turns = mock.patch.object(crash_checks, "TRIAL_INTERVAL", interval)
        for options in (SMALL, LARGE):
            with self.subTest(options=options), short_times(), turns:
                self.assertEqual(in_fleet(use, **options), expected)

    def test_one_trial_of_a_request_that_comes_again_and_again(self):
        """All gateways get the request at the end of the time of refusal."""

        async def use(bed):
            await end_replicas(bed, (0, 1, 2))
            await call_all(bed)
            await asyncio.sleep(FIRST_HOLD - 3.0)
            for _ in range(60):
                statuses = await call_all(bed)
                await asyncio.sleep(0.25)
            return set(statuses), len(bed.fleet.crashing_request_arrivals)

        self.check_all(use, ({503}, 4), TRIAL_INTERVAL)

    def test_one_trial_of_a_request_that_comes_back_at_all_gateways_at_once(self):
        """Nobody has sent it for a while when its time of refusal lapses."""

        async def use(bed):
            before = await self.refuse_until_trial(bed)
            for _ in range(40):
                statuses = await call_all(bed)
                await asyncio.sleep(0.25)
            return set(statuses), len(bed.fleet.crashing_request_arrivals) - before

        self.check_all(use, ({503}, 1), TRIAL_INTERVAL)

    def test_crash_of_the_trial_prolongs_the_refusal_everywhere(self):
        async def use(bed):
            await self.refuse_until_trial(bed)
            await end_replicas(bed, [1])
            await asyncio.sleep(SPREAD_TIME)
            replies = await asyncio.gather(
                *(
                    bed.call(PATH, gateway=number, body=CRASHING_BODY)
                    for number in range(len(bed.gateways))
                )
            )
            waits = [float(reply.headers["Retry-After"]) for reply in replies]
            return min(waits) > 2 * FIRST_HOLD - 2.0, max(waits) < 2.2 * FIRST_HOLD

        self.check_all(use, (True, True))

    def test_trial_that_has_crashed_is_refused_when_it_comes_again(self):
        """A caller may keep the id of its request when it repeats it."""

        async def use(bed):
            before = await self.refuse_until_trial(bed)
            statuses = []
            for _ in range(4):
                reply = await bed.call(
                    PATH, gateway=1, body=CRASHING_BODY, Request_Id="again"
                )
                statuses.append(reply.status)
                await asyncio.sleep(CRASH_INTERVAL)
            return statuses, len(bed.fleet.crashing_request_arrivals) - before

        self.check_all(use, ([502, 503, 503, 503], 1))

    def test_other_gateways_refuse_while_a_trial_runs(self):
        async def use(bed):
            before = await self.refuse_until_trial(bed)
            for replica in bed.fleet.replicas.values():
                replica.faults.delay = 2.0
            trial = asyncio.ensure_future(call_all(bed, [1]))
            await asyncio.sleep(0.1)
            statuses = await call_all(bed, [0, 2, 3])
            await trial
            return set(statuses), len(bed.fleet.crashing_request_arrivals) - before

        self.check_all(use, ({503}, 1))

    def test_answered_trial_ends_the_refusal_everywhere(self):
        """Other requests that were lost and answered are told of beside it."""

        async def use(bed):
            await self.refuse_until_trial(bed)
            bed.fleet.crashing_requests.clear()
            tasks = await start_bystanders(bed, [1], 100)
            for replica in list(bed.fleet.replicas.values())[2:]:
                bed.fleet.begin_crash(replica)
            await asyncio.gather(*tasks)
            await asyncio.sleep(2 * bed.fleet.crash_time)
            tasks = await start_bystanders(bed, [1], 100)
            answered = {reply.status for reply in await asyncio.gather(*tasks)}
            trial = await call_all(bed, [1])
            await asyncio.sleep(SPREAD_TIME)
            return answered, trial, set(await call_all(bed))

        self.check_all(use, ({200}, [200], {200}))

    def test_breaker_is_forgotten_everywhere_although_gateways_repeat_it(self):
        async def use(bed):
            await self.refuse_until_trial(bed)
            known = [len(gateway.crash_ledger.breakers) for gateway in bed.gateways]
            await asyncio.sleep(50.0)
            left = [len(gateway.crash_ledger.breakers) for gateway in bed.gateways]
            return set(known), set(left)

        with (
            mock.patch.object(breaker, "IDLE_TIME", 40.0),
            mock.patch.object(ledger, "HALF_OPEN_PASSED_TIME", 38.0),
            mock.patch.object(platform_testbed, "DATAGRAM_LATENCY", 0.15),
        ):
            self.check_all(use, ({1}, {0}))
