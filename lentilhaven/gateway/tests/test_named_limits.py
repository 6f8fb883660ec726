"""Replicas that name the request rate that they take from all gateways together."""

import asyncio
import unittest
from contextlib import AsyncExitStack
from random import Random

from lentilhaven.bench.soak.soak_limits import most_in_window
from lentilhaven.gateway.tests.platform_testbed import (
    KEY,
    engine,
    plain_replicas,
    run_on_testbed,
    sample_manifest,
    sample_settings,
    start_gateway,
)
from lentilhaven.platform.settings import decode_settings

#: Seconds from the first answer that names a limit until the limit must be kept.
STABLE = 3.0

#: Seconds of any window in which a replica must not get more than the limit allows.
WINDOW = 4.0

#: Seconds within which a limit that a replica no longer names is forgotten.
FORGOTTEN = 8.0


def allowed_in_window(limit):
    """Return how many requests a replica may get in any `WINDOW` seconds."""
    return 1.5 * limit * WINDOW + 5


def name_limits(bed, limits):
    """Let replicas name limits, by id."""
    for name, limit in limits.items():
        bed.fleet.replicas[name].named_limits = (str(limit),) if limit else ()


async def send_steadily(bed, path, rate, seconds, shares=(1.0,), method="GET", **other):
    """Send requests at random times, to gateways by shares; return the replies."""
    random = Random(5)
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    calls = []
    while loop.time() < end:
        gateway = random.choices(range(len(shares)), shares)[0]
        call = bed.call(f"{path}{len(calls)}", method, gateway, **other)
        calls.append(asyncio.ensure_future(call))
        await asyncio.sleep(random.expovariate(rate))
    return await asyncio.gather(*calls)


def served_share(replies):
    """Return the share of the replies that are whole and successful."""
    return sum(it.status == 200 and it.complete for it in replies) / len(replies)


class KeptLimits:
    """Checks of the arrivals at limited replicas, for test cases."""

    def assert_kept(self, bed, limits, since):
        """Check that the replicas have got no more than their limits allow."""
        for name, limit in limits.items():
            with self.subTest(replica=name):
                found = most_in_window(bed.fleet.replicas[name].arrivals, since)
                self.assertLessEqual(found, allowed_in_window(limit))


#: Limits of four replicas of six, in requests per second.
LIMITS = {"i-stock-0": 0.6, "i-stock-1": 3.0, "i-stock-2": 6.4, "i-stock-3": 9.25}


class PlainLimitTests(KeptLimits, unittest.TestCase):
    """Guards against replicas that get more than they have said that they take."""

    def play(self, limits, shares, rate=120, replicas=6, seconds=12.0, **options):
        """Check the limits, and return the replies."""

        async def use(bed):
            name_limits(bed, limits)
            began = asyncio.get_running_loop().time()
            replies = await send_steadily(bed, "/look/", rate, seconds, shares)
            self.assert_kept(bed, limits, began + STABLE)
            return replies

        found = plain_replicas(replicas)
        return run_on_testbed(use, found, gateways=len(shares), **options)

    def test_others_take_what_limited_replicas_do_not(self):
        replies = self.play(LIMITS, [1.0] * 3)
        self.assertEqual(served_share(replies), 1.0)

    def test_callers_spread_unevenly(self):
        replies = self.play(LIMITS, [0.62, 0.3, 0.08])
        self.assertEqual(served_share(replies), 1.0)

    def test_low_limit_and_many_gateways(self):
        limits = {"i-stock-0": 0.6, "i-stock-1": 0.6}
        replies = self.play(limits, [1.0] * 9, rate=90, replicas=3)
        self.assertEqual(served_share(replies), 1.0)

    def test_large_fleet(self):
        fleet = {"data_centres": 3, "small_fleet": 4}
        replies = self.play(LIMITS, [1.0] * 12, seconds=10.0, **fleet)
        self.assertEqual(served_share(replies), 1.0)

    def test_requests_that_no_replica_may_take_are_refused_at_once(self):
        limits = {"i-stock-0": 8.0, "i-stock-1": 6.0}
        replies = self.play(limits, [1.0] * 3, rate=40, replicas=2)
        refused = [it for it in replies if it.status == 503]
        self.assertGreater(len(refused), 0)
        self.assertLessEqual(max(it.seconds for it in refused), 0.05)
        # The replicas take 14 of 40 a second.
        self.assertGreaterEqual(served_share(replies), 0.9 * 14 / 40)
        waits = [float(it.headers["Retry-After"]) for it in refused[-50:]]
        self.assertGreater(min(waits), 1.0)
        self.assertLess(max(waits), 6.0)


class LimitOfEnginesTests(KeptLimits, unittest.TestCase):
    """Guards against the same at engines, where a limit holds for first parts."""

    def engines(self):
        """Return five engines that begin chains, and five that end them."""
        return [
            *(engine(f"a{it}", 0, 4) for it in range(5)),
            *(engine(f"end{it}", 4, 8) for it in range(5)),
        ]

    def play(self, limits, rate=45, shares=(1.0, 1.0, 1.0), **options):
        """Check the limits, and return the replies."""

        async def use(bed):
            for replica in bed.fleet.replicas.values():
                replica.slots = 96
            for replica in bed.fleet.replicas.values():
                bed.fleet.register(replica)
            await asyncio.sleep(1.0)
            name_limits(bed, limits)
            began = asyncio.get_running_loop().time()
            replies = await send_steadily(
                bed, "/draft/", rate, 10.0, shares, "POST", output=16
            )
            self.assert_kept(bed, limits, began + STABLE)
            return replies

        return run_on_testbed(use, self.engines(), gateways=len(shares), **options)

    def test_chains_begin_elsewhere(self):
        limits = {"i-a0": 1.0, "i-a1": 4.0, "i-a2": 6.0, "i-a3": 2.0}
        self.assertEqual(served_share(self.play(limits)), 1.0)

    def test_nothing_else_may_begin(self):
        limits = {f"i-a{it}": 4.0 for it in range(5)}
        replies = self.play(limits)
        refused = [it for it in replies if it.status == 503]
        self.assertGreaterEqual(served_share(replies), 0.9 * 20 / 45)
        self.assertLessEqual(max(it.seconds for it in refused), 0.1)
        self.assertGreater(float(refused[-1].headers["Retry-After"]), 1.0)

    def test_later_parts_are_not_limited(self):
        limits = {f"i-end{it}": 0.6 for it in range(5)}
        self.assertEqual(served_share(self.play(limits)), 1.0)


class ChangingLimitTests(KeptLimits, unittest.TestCase):
    """Guards against limits that end with a flood, hold for ever or come too late."""

    def play_steps(self, steps, rate=60, gateways=3):
        """Name limits step by step for seconds; return the bed after the last one."""

        async def use(bed):
            times = []
            for limits, seconds in steps:
                name_limits(bed, limits)
                times.append(asyncio.get_running_loop().time())
                await send_steadily(bed, "/look/", rate, seconds, [1.0] * gateways)
            arrivals = {
                name: list(replica.arrivals)
                for name, replica in bed.fleet.replicas.items()
            }
            return times, arrivals

        return run_on_testbed(use, plain_replicas(3), gateways=gateways)

    def test_end_of_a_limit_begins_no_flood(self):
        limits = {"i-stock-0": 6.0}
        times, arrivals = self.play_steps([(limits, 6.0), ({"i-stock-0": 0}, 12.0)])
        found = arrivals["i-stock-0"]
        in_first_second = sum(times[1] <= at < times[1] + 1.0 for at in found)
        self.assertLessEqual(in_first_second, 18)
        later = sum(at >= times[1] + FORGOTTEN for at in found) / (12.0 - FORGOTTEN)
        self.assertGreaterEqual(later, 15)

    def test_limit_is_lowered(self):
        steps = [({"i-stock-0": 12.0}, 5.0), ({"i-stock-0": 2.0}, 9.0)]
        times, arrivals = self.play_steps(steps)
        found = most_in_window(arrivals["i-stock-0"], times[1] + STABLE)
        self.assertLessEqual(found, allowed_in_window(2.0))

    def test_burst(self):
        async def use(bed):
            name_limits(bed, {"i-stock-0": 6.0})
            shares = [1.0] * 3
            await send_steadily(bed, "/look/", 20, 4.0, shares)
            since = asyncio.get_running_loop().time()
            await send_steadily(bed, "/look/", 150, 4.0, shares)
            return most_in_window(bed.fleet.replicas["i-stock-0"].arrivals, since)

        found = run_on_testbed(use, plain_replicas(3), gateways=3)
        self.assertLessEqual(found, allowed_in_window(6.0))

    def test_replica_that_gets_nothing_is_tried_again(self):
        """One that takes 0 requests a second says nothing more for want of any."""
        steps = [({"i-stock-0": "0"}, 6.0), ({"i-stock-0": 0}, 16.0)]
        times, arrivals = self.play_steps(steps)
        found = arrivals["i-stock-0"]
        self.assertLessEqual(most_in_window(found, times[0] + STABLE, times[1]), 5)
        self.assertGreater(sum(at >= times[1] + 12.0 for at in found), 20)

    def test_replica_that_starts_again_is_not_limited(self):
        async def use(bed):
            name_limits(bed, {"i-stock-0": 1.0})
            await send_steadily(bed, "/look/", 60, 4.0, [1.0] * 3)
            replica = bed.fleet.replicas["i-stock-0"]
            replica.restart()
            bed.fleet.register(replica)
            await asyncio.sleep(1.0)
            replica.arrivals.clear()
            await send_steadily(bed, "/look/", 60, WINDOW, [1.0] * 3)
            return len(replica.arrivals)

        found = run_on_testbed(use, plain_replicas(3), gateways=3)
        self.assertGreater(found, allowed_in_window(1.0))


class TellingTests(KeptLimits, unittest.TestCase):
    """Guards against gateways that do not know what others were told, or send."""

    LIMITS = {"i-stock-0": 4.0}

    def test_gateway_that_starts_during_the_limit(self):
        async def use(bed):
            name_limits(bed, self.LIMITS)
            began = asyncio.get_running_loop().time()
            await send_steadily(bed, "/look/", 60, 4.0, [1.0] * 3)
            async with AsyncExitStack() as stack:
                settings = decode_settings(sample_settings(3))
                gateway = await start_gateway(stack, bed, settings, 1)
                await gateway.view.changed.wait_until(lambda: gateway.ready, 5.0)
                await send_steadily(bed, "/look/", 80, 6.0, [1.0] * 4)
            self.assert_kept(bed, self.LIMITS, began + STABLE)

        run_on_testbed(use, plain_replicas(3), gateways=3)

    def test_gateways_that_are_cut_from_each_other(self):
        async def use(bed):
            name_limits(bed, self.LIMITS)
            began = asyncio.get_running_loop().time()
            await send_steadily(bed, "/look/", 60, 4.0, [1.0] * 3)
            bed.datagram_network.cut = {f"10.0.0.{it + 1}" for it in range(3)}
            await send_steadily(bed, "/look/", 60, 8.0, [1.0] * 3)
            self.assert_kept(bed, self.LIMITS, began + STABLE)

        run_on_testbed(use, plain_replicas(3), gateways=3)

    def test_limit_of_a_gateway_that_was_told_holds_at_the_others(self):
        async def use(bed):
            name_limits(bed, {"i-stock-0": 0.6})
            await send_steadily(bed, "/look/", 40, 4.0, [1.0, 0.0, 0.0])
            replica = bed.fleet.replicas["i-stock-0"]
            replica.arrivals.clear()
            await send_steadily(bed, "/look/", 40, 2.0, [0.0, 1.0, 1.0])
            return len(replica.arrivals)

        found = run_on_testbed(use, plain_replicas(3), gateways=3)
        self.assertLessEqual(found, 5)


class ValueTests(unittest.TestCase):
    """Guards against values that hold back what the replica would take."""

    def play(self, prepare):
        """Return how many of 100 requests a second one of two replicas gets in 2 s."""

        async def use(bed):
            prepare(bed.fleet.replicas["i-stock-0"])
            await send_steadily(bed, "/look/", 100, 2.0)
            bed.fleet.replicas["i-stock-0"].arrivals.clear()
            await send_steadily(bed, "/look/", 100, 2.0)
            return len(bed.fleet.replicas["i-stock-0"].arrivals)

        return run_on_testbed(use, plain_replicas(2), gateways=1)

    def test_values_that_limit_nothing(self):
        for value in ("-1", "nan", "inf", "soon", "", "1e9"):
            with self.subTest(value=value):

                def prepare(replica, value=value):
                    replica.named_limits = (value,)

                self.assertGreater(self.play(prepare), 50)

    def test_smallest_of_several_counts(self):
        def prepare(replica):
            replica.named_limits = ("50", "1")

        self.assertLessEqual(self.play(prepare), 6)

    def test_limit_in_a_response_that_breaks_off(self):
        def prepare(replica):
            replica.named_limits = ("1",)
            replica.faults.truncate = True

        self.assertLessEqual(self.play(prepare), 6)

    def test_limit_in_a_refusal(self):
        def prepare(replica):
            replica.named_limits = ("1",)
            replica.faults.shed = True

        self.assertLessEqual(self.play(prepare), 6)


class FairnessTests(unittest.TestCase):
    """Guards against a workspace that takes from the others what a limit leaves."""

    def test_workspace_that_asks_little_is_served(self):
        tenants = [
            {"name": "depot", "api_keys": [KEY]},
            {"name": "office", "api_keys": ["key-of-office"]},
        ]

        async def use(bed):
            name_limits(bed, {"i-stock-0": 5.0, "i-stock-1": 5.0})
            await send_steadily(bed, "/look/", 40, 2.0, [1.0, 1.0])
            busy = asyncio.ensure_future(
                send_steadily(bed, "/look/", 60, 10.0, [1.0, 1.0])
            )
            small = await send_steadily(
                bed,
                "/look/s",
                2,
                10.0,
                [1.0, 1.0],
                Authorization="Bearer key-of-office",
            )
            return served_share(small), served_share(await busy)

        manifest = sample_manifest(tenants=tenants)
        small, busy = run_on_testbed(use, plain_replicas(2), manifest=manifest)
        self.assertGreaterEqual(small, 0.8)
        self.assertGreater(busy, 0.05)
