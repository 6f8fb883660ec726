import unittest

from lentilhaven.gateway.tests.platform_testbed import (
    plain_replicas,
    run_on_testbed,
    sample_manifest,
)
from lentilhaven.standins.platform.fake_store import StoreState
from lentilhaven.standins.platform.sample_files import route_entry


class RoutingTests(unittest.TestCase):
    def test_a_request_is_answered_by_the_routes_service(self):
        async def scenario(bed):
            return await bed.call("/look/7", "GET"), bed.fleet.runs

        reply, runs = run_on_testbed(scenario, plain_replicas())
        self.assertEqual(reply.status, 200)
        self.assertIn("Replica-Signature", reply.headers)
        self.assertEqual([run.target for run in runs], ["/look/7"])

    def test_the_longest_prefix_wins_and_unknown_paths_are_404(self):
        manifest = sample_manifest()
        deep = route_entry("look", "safe", "other") | {
            "name": "deep",
            "path_prefix": "/look/deep/",
        }
        manifest["routes"].append(deep)

        async def scenario(bed):
            return [
                (await bed.call(path, "GET")).status
                for path in ("/look/deep/1", "/look/deeper", "/lookout/1", "/none")
            ]

        statuses = run_on_testbed(scenario, plain_replicas(), manifest=manifest)
        # Service "other" has no replica, so its request is refused without a run.
        self.assertEqual(statuses, [503, 200, 404, 404])

    def test_keys_decide_the_workspace_and_stay_here(self):
        async def scenario(bed):
            good = await bed.call("/look/1", "GET", Tenant="forged")
            bad = await bed.call("/look/1", "GET", Authorization="Bearer wrong")
            return good.status, bad.status, bed.fleet.runs

        good, bad, runs = run_on_testbed(scenario, plain_replicas())
        self.assertEqual((good, bad), (200, 401))
        self.assertEqual(len(runs), 1)
        self.assertEqual(runs[0].fields["tenant"], "depot")
        self.assertNotIn("authorization", runs[0].fields)

    def test_method_path_and_body_go_on_unchanged(self):
        target = "/post/a%2Fb/./c?x=1&y=%20"

        async def scenario(bed):
            await bed.call(target, body=b"\x00\xffbytes")
            return bed.fleet.runs[0]

        run = run_on_testbed(scenario, plain_replicas())
        self.assertEqual((run.method, run.target), ("POST", target))
        self.assertEqual(run.body, b"\x00\xffbytes")
        self.assertLessEqual(int(run.fields["deadline-ms"]), 800)

    def test_a_body_beyond_the_limit_is_413_and_runs_nowhere(self):
        async def scenario(bed):
            reply = await bed.call("/post/1", body=b"x" * 1_000_001)
            return reply.status, bed.fleet.runs

        self.assertEqual(run_on_testbed(scenario, plain_replicas()), (413, []))

    def test_without_a_manifest_nothing_is_404(self):
        async def scenario(bed):
            # A request waits for the manifest, which must not become known again.
            bed.store.state = StoreState.SILENT
            bed.gateways[0].view.manifest = None
            return await bed.call("/look/1", "GET")

        reply = run_on_testbed(scenario, plain_replicas(), gateways=1)
        self.assertEqual(reply.status, 503)
        self.assertGreater(float(reply.headers["Retry-After"]), 0.0)


class AtMostOnceTests(unittest.TestCase):
    def test_a_lost_answer_of_unsafe_work_is_not_repeated(self):
        async def scenario(bed):
            for replica in bed.fleet.replicas.values():
                replica.faults.lose_answer = True
            reply = await bed.call("/post/1")
            return reply.status, len(bed.fleet.runs)

        self.assertEqual(run_on_testbed(scenario, plain_replicas()), (502, 1))

    def test_silence_after_unsafe_work_is_a_timeout_not_a_promise(self):
        async def scenario(bed):
            for replica in bed.fleet.replicas.values():
                replica.faults.delay = 5.0
            reply = await bed.call("/post/1")
            return reply.status, len(bed.fleet.runs), reply.seconds

        status, runs, seconds = run_on_testbed(scenario, plain_replicas())
        self.assertEqual((status, runs), (504, 1))
        self.assertLess(seconds, 0.9)

    def test_unsafe_work_that_was_turned_away_goes_to_another_replica(self):
        async def scenario(bed):
            first, second = bed.fleet.replicas.values()
            first.faults.shed = True
            replies = [await bed.call(f"/post/{it}") for it in range(6)]
            return [reply.status for reply in replies], len(second.runs)

        statuses, runs = run_on_testbed(scenario, plain_replicas())
        self.assertEqual(statuses, [200] * 6)
        self.assertEqual(runs, 6)

    def test_all_replicas_turning_away_is_a_promise(self):
        async def scenario(bed):
            for replica in bed.fleet.replicas.values():
                replica.faults.shed = True
            reply = await bed.call("/post/1")
            return reply, bed.fleet.runs

        reply, runs = run_on_testbed(scenario, plain_replicas())
        self.assertEqual(reply.status, 503)
        self.assertIn("Retry-After", reply.headers)
        self.assertEqual(runs, [])

    def test_a_replica_that_took_over_an_address_runs_nothing(self):
        async def scenario(bed):
            replica = next(iter(bed.fleet.replicas.values()))
            # The store's entry still names the replica that had the address before.
            replica.id = "i-other"
            reply = await bed.call("/post/1")
            return reply.status, bed.fleet.runs

        self.assertEqual(run_on_testbed(scenario, plain_replicas(1)), (503, []))


class TruthTests(unittest.TestCase):
    """Guards against "not run" after a first run whose answer was lost or a failure."""

    def reply_after(self, first_fault):
        async def scenario(bed):
            first, second = bed.fleet.replicas.values()
            setattr(first.faults, first_fault, True)
            second.faults.shed = True
            # The second replica is slower, so that the first one is chosen.
            state = bed.gateways[0].endpoint_states
            endpoint = bed.gateways[0].view.endpoints[second.id]
            state.of(endpoint).latency = 0.5
            return await bed.call("/look/1", "GET"), len(first.runs)

        return run_on_testbed(scenario, plain_replicas())

    def test_lost_answer_then_refusal_promises_nothing(self):
        reply, runs = self.reply_after("lose_answer")
        self.assertEqual((reply.status, runs), (502, 1))

    def test_failure_then_refusal_passes_the_failure_on(self):
        reply, runs = self.reply_after("fail")
        self.assertEqual((reply.status, runs), (500, 1))
        self.assertIn("Replica-Signature", reply.headers)


class SafeTests(unittest.TestCase):
    def test_a_failure_is_tried_once_more_elsewhere(self):
        for fault in ("lose_answer", "truncate", "fail", "shed"):
            with self.subTest(fault):

                async def scenario(bed, fault=fault):
                    first, _ = bed.fleet.replicas.values()
                    setattr(first.faults, fault, True)
                    replies = [await bed.call(f"/look/{n}", "GET") for n in range(8)]
                    return {reply.status for reply in replies}

                self.assertEqual(run_on_testbed(scenario, plain_replicas()), {200})

    def test_no_more_replicas_than_attempts(self):
        async def scenario(bed):
            for replica in bed.fleet.replicas.values():
                replica.faults.lose_answer = True
            reply = await bed.call("/look/1", "GET")
            return reply.status, len(bed.fleet.runs)

        self.assertEqual(run_on_testbed(scenario, plain_replicas(4)), (502, 2))

    def test_a_slow_replica_is_left_for_another_in_time(self):
        async def scenario(bed):
            first, _ = bed.fleet.replicas.values()
            first.faults.delay = 0.5
            return [(await bed.call(f"/look/{n}", "GET")).seconds for n in range(6)]

        self.assertLess(max(run_on_testbed(scenario, plain_replicas())), 0.1)

    def test_an_endpoints_failure_is_passed_on_with_its_signature(self):
        async def scenario(bed):
            for replica in bed.fleet.replicas.values():
                replica.faults.fail = True
            return await bed.call("/look/1", "GET")

        reply = run_on_testbed(scenario, plain_replicas())
        self.assertEqual(reply.status, 500)
        self.assertIn("Replica-Signature", reply.headers)


class AnswerTests(unittest.TestCase):
    def test_a_late_answer_to_another_request_reaches_nobody(self):
        async def scenario(bed):
            first = next(iter(bed.fleet.replicas.values()))
            replies = []
            for number in range(6):
                first.faults.extra = number % 2 == 1
                replies.append(await bed.call(f"/post/{number}"))
            return replies

        for number, reply in enumerate(run_on_testbed(scenario, plain_replicas(1))):
            if reply.status == 200:
                self.assertIn(f"/post/{number}".encode(), reply.body)
                self.assertTrue(
                    reply.headers["Replica-Signature"].endswith(f"r{number + 1}")
                )

    def test_an_answer_that_ends_with_its_connection_is_whole(self):
        async def scenario(bed):
            for replica in bed.fleet.replicas.values():
                replica.faults.unframed = True
            return [await bed.call(f"/look/{n}", "GET") for n in range(3)]

        for reply in run_on_testbed(scenario, plain_replicas()):
            self.assertEqual((reply.status, reply.complete), (200, True))

    def test_an_answer_before_the_body_was_read(self):
        async def scenario(bed):
            for replica in bed.fleet.replicas.values():
                replica.faults.early = True
            large = b"x" * 500_000
            return [(await bed.call(f"/post/{n}", body=large)).status for n in range(3)]

        for status in run_on_testbed(scenario, plain_replicas()):
            self.assertIn(status, (200, 502))
