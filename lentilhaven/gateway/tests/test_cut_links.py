"""Gateways whose links to replicas are gone, while everything else reaches them."""

import asyncio
import unittest
from collections import Counter

from lentilhaven.gateway.tests.platform_testbed import (
    engine,
    plain_replicas,
    run_on_testbed,
)
from lentilhaven.gateway.tests.test_named_limits import (
    most_in_window,
    name_limits,
    send_steadily,
    served_share,
)
from lentilhaven.standins.platform.cut_links import Cut

#: Seconds from the start of a cut until callers of a cut gateway must be served.
STABLE = 3.0

#: Share of the first tries that must be served: 1 in 50 may fail.
SERVED = 0.98

#: Seconds within which a request that can't be served is refused.
PROMPT = 1.0

#: Seconds within which a gateway uses its own links again.
RETURN_TIME = 6.0


def replicas():
    """Return plain replicas and three chains of two engines."""
    return [
        *plain_replicas(3),
        *(engine(f"a{it}", 0, 4, slots=64) for it in range(3)),
        *(engine(f"end{it}", 4, 8, slots=64) for it in range(3)),
    ]


def hosts_of(bed, prefix="i-"):
    """Return the hosts of the replicas whose ids begin with a prefix."""
    found = bed.fleet.replicas.values()
    return {it.host for it in found if it.id.startswith(prefix)}


def cut_off(bed, gateways, cut=Cut.HANG, prefix="i-"):
    """Cut gateways off from the replicas whose ids begin with a prefix."""
    for number in gateways:
        bed.links[number].begin_cut(cut, hosts_of(bed, prefix))


def end_cuts(bed):
    """Let all connections of all gateways through again."""
    for links in bed.links:
        links.end_cut()


async def send_all_kinds(bed, seconds, shares, rate=20):
    """Send streams, safe and unsafe requests; return the replies by kind."""
    kinds = {"stream": ("/draft/", "POST"), "safe": ("/look/", "GET")}
    kinds["unsafe"] = ("/post/", "POST")
    replies = await asyncio.gather(
        *(
            send_steadily(bed, path, rate, seconds, shares, method, output=16)
            for path, method in kinds.values()
        )
    )
    return dict(zip(kinds, replies, strict=True))


def runs_of_each_request(bed):
    """Return how often each request has run, by id."""
    return Counter(run.request_id for run in bed.fleet.runs)


def holds_lease(gateway):
    """Return whether a gateway holds the lease of the placement."""
    return gateway.holds_placement_lease()


class ServedTests(unittest.TestCase):
    """Guards against callers that are served worse at a gateway that is cut off."""

    def play(self, gateways, cut_gateways, cut=Cut.HANG, prefix="i-", **options):
        """Return the replies of cut gateways after `STABLE`, by kind, and the bed."""

        async def use(bed):
            shares = [1.0] * gateways
            await send_all_kinds(bed, 2.0, shares)
            cut_off(bed, cut_gateways, cut, prefix)
            await send_all_kinds(bed, STABLE, shares)
            only_cut = [float(it in cut_gateways) for it in range(gateways)]
            replies = await send_all_kinds(bed, 4.0, only_cut)
            counts = runs_of_each_request(bed)
            return replies, counts

        return run_on_testbed(use, replicas(), gateways=gateways, **options)

    def assert_served(self, replies):
        for kind, found in replies.items():
            with self.subTest(kind=kind):
                self.assertGreaterEqual(served_share(found), SERVED)
                times = sorted(it.seconds for it in found)
                self.assertLess(times[int(0.9 * len(times))], 0.6)

    def test_connections_hang(self):
        replies, _ = self.play(3, [0])
        self.assert_served(replies)

    def test_connections_are_reset(self):
        replies, _ = self.play(3, [0], Cut.RESET)
        self.assert_served(replies)

    def test_new_connections_are_refused(self):
        replies, _ = self.play(3, [0], Cut.REFUSE)
        self.assert_served(replies)

    def test_old_connections_live_on(self):
        replies, _ = self.play(3, [0], Cut.REFUSE_NEW)
        self.assert_served(replies)

    def test_engines_that_begin_chains_are_cut_off(self):
        replies, _ = self.play(3, [0], prefix="i-a")
        self.assert_served(replies)

    def test_most_gateways_are_cut_off(self):
        replies, _ = self.play(5, [0, 1, 2, 3])
        self.assert_served(replies)

    def test_whole_data_centre_is_cut_off(self):
        """Gateways 0, 3 and 6 are in the first of three data centres."""
        replies, _ = self.play(7, [0, 3, 6], data_centres=3)
        self.assert_served(replies)

    def test_gateways_of_a_large_fleet(self):
        replies, _ = self.play(9, [0, 1, 4], data_centres=3, small_fleet=4)
        self.assert_served(replies)

    def test_request_that_must_not_repeat_runs_once(self):
        for cut in Cut:
            with self.subTest(cut=cut.value):
                _, counts = self.play(3, [0], cut)
                # Streams and safe requests may run twice: their routes allow it.
                self.assertLessEqual(max(counts.values()), 2)


class TruthTests(unittest.TestCase):
    """Guards against answers that say "not run" of what has run by another way."""

    def test_unsafe_requests_run_at_most_once_and_refusals_are_true(self):
        for cut in Cut:

            async def use(bed, cut=cut):
                sending = asyncio.ensure_future(
                    send_steadily(bed, "/post/", 40, 9.0, [1.0, 1.0, 0.0], "POST")
                )
                for _ in range(3):
                    await asyncio.sleep(1.0)
                    cut_off(bed, [0], cut)
                    await asyncio.sleep(1.5)
                    end_cuts(bed)
                return await sending, bed.fleet.runs

            with self.subTest(cut=cut.value):
                replies, runs = run_on_testbed(use, replicas(), gateways=3)
                runs_by_target = Counter(run.target for run in runs)
                self.assertLessEqual(max(runs_by_target.values()), 1)
                for number, reply in enumerate(replies):
                    if reply.status in (429, 503, 408, 421):
                        self.assertEqual(runs_by_target[f"/post/{number}"], 0)

    def test_deadline_that_is_passed_on_is_the_rest(self):
        async def use(bed):
            cut_off(bed, [0])
            await asyncio.sleep(STABLE)
            await send_steadily(bed, "/look/", 20, 3.0)
            bed.fleet.replicas["i-stock-0"].runs.clear()
            await send_steadily(bed, "/look/", 20, 1.0, Deadline_Ms="700")
            runs = bed.fleet.replicas["i-stock-0"].runs
            return [int(run.fields["deadline-ms"]) for run in runs]

        found = run_on_testbed(use, [*plain_replicas(1)], gateways=2)
        self.assertTrue(found)
        self.assertLessEqual(max(found), 700)

    def test_caller_who_leaves_ends_the_work(self):
        async def use(bed):
            cut_off(bed, [0])
            await asyncio.sleep(STABLE)
            await send_steadily(bed, "/draft/w", 10, 1.0, method="POST", output=16)
            call = asyncio.ensure_future(bed.call("/draft/1", output=4000))
            await asyncio.sleep(0.6)
            running = sum(run.target == "/draft/1" for run in bed.fleet.runs)
            call.cancel()
            await asyncio.sleep(0.3)
            broken = [it for r in bed.fleet.replicas.values() for it in r.broken_runs]
            return running, len(broken)

        running, broken = run_on_testbed(use, replicas(), gateways=2)
        self.assertEqual((running, broken), (1, 1))

    def test_streams_are_whole_when_the_gateway_between_dies(self):
        async def use(bed):
            cut_off(bed, [0])
            await asyncio.sleep(STABLE)
            await send_steadily(bed, "/draft/w", 10, 1.0, method="POST", output=16)
            calls = [
                asyncio.ensure_future(bed.call(f"/draft/{it}", output=200))
                for it in range(6)
            ]
            await asyncio.sleep(0.4)
            # Gateway 0 loses its connections to gateway 1, as if that had ended.
            bed.links[0].begin_cut(Cut.RESET, hosts_of(bed) | {"10.0.0.2"})
            bed.datagram_network.cut.add("10.0.0.2")
            return await asyncio.gather(*calls)

        replies = run_on_testbed(use, replicas(), gateways=3)
        for reply in replies:
            if reply.complete and reply.status == 200:
                self.assertEqual(reply.event_ids, list(range(1, 51)))
        self.assertGreaterEqual(served_share(replies), 0.8)

    def test_nobody_reaches_the_replicas(self):
        """Neither of two gateways may take the other for a way, and back."""

        async def use(bed):
            cut_off(bed, [0, 1])
            await send_all_kinds(bed, STABLE, [1.0, 1.0], rate=5)
            began = sum(links.attempts for links in bed.links)
            replies = await send_all_kinds(bed, 3.0, [1.0, 1.0], rate=5)
            return replies, sum(links.attempts for links in bed.links) - began

        replies, attempts = run_on_testbed(use, replicas(), gateways=2)
        for kind, found in replies.items():
            with self.subTest(kind=kind):
                self.assertEqual(served_share(found), 0.0)
                self.assertLess(max(it.seconds for it in found), 2.1)
        sent = sum(len(found) for found in replies.values())
        self.assertLess(attempts, 15 * sent)


class NoSuspicionTests(unittest.TestCase):
    """Guards against gateways that take their own links for the replicas' fault."""

    def test_others_suspect_nothing_and_nothing_counts_as_ended(self):
        for cut in Cut:

            async def use(bed, cut=cut):
                shares = [1.0] * 3
                await send_all_kinds(bed, 2.0, shares)
                cut_off(bed, [0], cut)
                found = set()
                for _ in range(20):
                    await send_all_kinds(bed, 0.25, shares)
                    for gateway in bed.gateways[1:]:
                        for endpoint in gateway.view.endpoints.values():
                            if gateway.is_lost(endpoint):
                                found.add(endpoint.id)
                ended = [dict(it.crash_ledger.ended) for it in bed.gateways]
                return found, ended

            with self.subTest(cut=cut.value):
                found, ended = run_on_testbed(use, replicas(), gateways=3)
                self.assertEqual(found, set())
                self.assertEqual(ended, [{}, {}, {}])

    def test_layers_are_not_placed_anew(self):
        """Any of the gateways may hold the lease of the placement."""
        for cut in Cut:

            async def use(bed, cut=cut):
                shares = [1.0] * 3
                await send_all_kinds(bed, 2.0, shares)
                placers = [it for it in range(3) if holds_lease(bed.gateways[it])]
                cut_off(bed, placers, cut, prefix="i-a")
                await send_all_kinds(bed, 6.0, shares)
                end_cuts(bed)
                await send_all_kinds(bed, 2.0, shares)
                return sum(it.orders for it in bed.fleet.replicas.values())

            with self.subTest(cut=cut.value):
                orders = run_on_testbed(use, replicas(), gateways=3)
                self.assertEqual(orders, 0)

    def test_engine_that_ends_during_a_cut_is_replaced(self):
        """A gateway that can't order engines leaves that to another one."""

        async def use(bed):
            await send_all_kinds(bed, 2.0, [1.0] * 3)
            placers = [it for it in range(3) if holds_lease(bed.gateways[it])]
            cut_off(bed, placers)
            await send_all_kinds(bed, STABLE, [1.0] * 3)
            engine = bed.fleet.replicas["i-a0"]
            engine.restart()
            bed.fleet.register(engine)
            await send_all_kinds(bed, 8.0, [1.0] * 3)
            return engine.orders, engine.span

        orders, span = run_on_testbed(use, replicas(), gateways=3)
        self.assertEqual(orders, 1)
        self.assertIsNotNone(span)

    def test_requests_lost_with_links_are_not_refused(self):
        """A hot request is lost with each of the links, but ends no replica."""

        async def use(bed):
            await send_all_kinds(bed, 1.0, [1.0] * 3)
            for replica in bed.fleet.replicas.values():
                replica.faults.delay = 0.1
            for _ in range(4):
                calls = [
                    asyncio.ensure_future(bed.call("/post/hot", "POST"))
                    for _ in range(12)
                ]
                await asyncio.sleep(0.05)
                cut_off(bed, [0], Cut.RESET)
                await asyncio.gather(*calls)
                await asyncio.sleep(0.5)
                end_cuts(bed)
                await asyncio.sleep(1.5)
            replies = [await bed.call("/post/hot", "POST") for _ in range(10)]
            return [it.status for it in replies]

        statuses = run_on_testbed(use, replicas(), gateways=3)
        self.assertEqual(statuses, [200] * 10)

    def test_slow_replicas_are_not_burdened_with_checks(self):
        async def use(bed):
            for replica in bed.fleet.replicas.values():
                replica.faults.delay = 0.6
            await send_steadily(bed, "/post/", 30, 2.0, [1.0, 1.0], "POST")
            for links in bed.links:
                links.opened.clear()
            await send_steadily(bed, "/post/", 30, 6.0, [1.0, 1.0], "POST")
            return sum(len(links.opened) for links in bed.links)

        # 180 requests at two gateways and three replicas; the connections are kept.
        opened = run_on_testbed(use, plain_replicas(3), gateways=2)
        self.assertLessEqual(opened, 40)

    def test_silent_second_is_no_cut(self):
        async def use(bed):
            await send_all_kinds(bed, 2.0, [1.0, 1.0])
            until = asyncio.get_running_loop().time() + 1.2
            for replica in bed.fleet.replicas.values():
                replica.faults.silent_until = until
            await send_all_kinds(bed, 3.0, [1.0, 1.0])
            between = [host for links in bed.links for host in links.opened]
            return sum(host.startswith("10.0.0.") for host in between)

        self.assertEqual(run_on_testbed(use, replicas(), gateways=2), 0)


class ReturnTests(unittest.TestCase):
    """Guards against gateways that go on by way of others after a cut."""

    def test_own_links_are_used_again(self):
        async def use(bed):
            shares = [1.0, 1.0]
            await send_all_kinds(bed, 1.0, shares)
            cut_off(bed, [0])
            await send_all_kinds(bed, 5.0, shares)
            stream = asyncio.ensure_future(bed.call("/draft/long", output=1600))
            await asyncio.sleep(0.5)
            end_cuts(bed)
            await send_all_kinds(bed, RETURN_TIME, shares)
            bed.links[0].opened.clear()
            await send_all_kinds(bed, 5.0, shares)
            opened = Counter(it.startswith("10.0.0.") for it in bed.links[0].opened)
            return opened[True], await stream, bed.fleet.replaced_paths

        between, stream, moved = run_on_testbed(use, replicas(), gateways=2)
        self.assertEqual(between, 0)
        self.assertEqual(stream.event_ids, list(range(1, 401)))
        self.assertEqual(moved, {})

    def test_load_is_spread_over_the_gateways_between(self):
        async def use(bed):
            cut_off(bed, [0, 1])
            await send_all_kinds(bed, STABLE, [1.0, 1.0, 0.0, 0.0, 0.0])
            for links in bed.links:
                links.opened.clear()
            await send_all_kinds(bed, 8.0, [1.0, 1.0, 0.0, 0.0, 0.0], rate=40)
            found = Counter()
            for links in bed.links[:2]:
                found.update(it for it in links.opened if it.startswith("10.0.0."))
            return found

        found = run_on_testbed(use, replicas(), gateways=5)
        self.assertEqual(len(found), 3)
        self.assertLessEqual(max(found.values()), 3 * min(found.values()) + 5)

    def test_named_limits_hold_by_way_of_others(self):
        async def use(bed):
            limits = {"i-stock-0": 2.0, "i-stock-1": 2.0}
            cut_off(bed, [0])
            await send_all_kinds(bed, STABLE, [1.0] * 3)
            name_limits(bed, limits)
            began = asyncio.get_running_loop().time()
            await send_steadily(bed, "/look/", 60, 8.0, [2.0, 1.0, 1.0])
            return [
                most_in_window(bed.fleet.replicas[it].arrivals, began + STABLE)
                for it in limits
            ]

        found = run_on_testbed(use, replicas(), gateways=3)
        self.assertLessEqual(max(found), 1.5 * 2.0 * 4 + 5)
