import unittest
from random import Random

import attrs

from lentilhaven.bench.soak.soak_callers import Attempt
from lentilhaven.bench.soak.soak_checks import (
    Findings,
    check_attempts,
    check_fault_free,
    check_hot_requests,
)
from lentilhaven.bench.soak.soak_crashes import check_crashing_part
from lentilhaven.bench.soak.soak_crashing_requests import check_others, check_refusal
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.bench.soak.soak_limits import LimitSpan, check_limits
from lentilhaven.bench.soak.soak_lost import check_lost
from lentilhaven.bench.soak.soak_memory import check_memory
from lentilhaven.standins.platform import FakeFleet, FakeReplica, FakeStore
from lentilhaven.standins.platform.fake_replica import CrashingRequest, Run


class CheckTestCase(unittest.TestCase):
    """Environment of a check: one replica and no gateway."""

    def setUp(self):
        self.replica = FakeReplica("i-1", "stock", "127.0.0.1")
        store = FakeStore()
        fleet = FakeFleet(store, {"i-1": self.replica})
        self.environment = SoakEnvironment(Random(1), store, fleet, session=None)

    def add_run(self, request_id, target, method="POST", body=None, **fields):
        fields = {"tenant": "depot"} | fields
        body = f"body of {request_id}".encode() if body is None else body
        self.replica.runs.append(Run(request_id, method, target, fields, body, 1.0))

    def make_attempt(self, kind="post", **fields):
        values = {
            "status": 200,
            "signature": "i-1.r1",
            "body": b"i-1 POST /post/1" * 3,
            "complete": True,
            "ended": 2.0,
        }
        values |= {"began": 1.0} | fields
        return Attempt("r1", kind, "/post/1", "depot", 0, **values)


class CheckTests(CheckTestCase):
    """Every violated guarantee must be found."""

    def find_violations(self, attempt):
        findings = Findings()
        check_attempts(self.environment, [attempt], findings)
        return [text.partition(":")[0] for text in findings.texts]

    def test_correct_response_violates_nothing(self):
        self.add_run("r1", "/post/1")
        self.assertEqual(self.find_violations(self.make_attempt()), [])

    def test_second_run(self):
        self.add_run("r1", "/post/1")
        self.add_run("r1", "/post/1")
        self.assertIn("at most once", self.find_violations(self.make_attempt()))

    def test_not_run_status_of_a_request_that_ran(self):
        self.add_run("r1", "/post/1")
        self.assertEqual(
            self.find_violations(self.make_attempt(status=503)), ["not run"]
        )

    def test_response_to_another_request(self):
        self.add_run("r1", "/post/1")
        self.assertEqual(
            self.find_violations(self.make_attempt(signature="i-1.r2")),
            ["answer of another"],
        )

    def test_truncated_response(self):
        self.add_run("r1", "/post/1")
        self.assertEqual(
            self.find_violations(self.make_attempt(body=b"i-1")), ["whole answer"]
        )

    def test_run_of_a_request_that_was_not_sent(self):
        self.add_run("r1", "/post/1")
        self.add_run("r9", "/post/9")
        self.assertEqual(
            self.find_violations(self.make_attempt()), ["nobody asked for it"]
        )

    def test_wrong_workspace_and_forwarded_key(self):
        self.add_run("r1", "/post/1", tenant="yard", authorization="Bearer k")
        self.assertEqual(
            self.find_violations(self.make_attempt()), ["workspace", "key passed on"]
        )

    def test_changed_prompt(self):
        self.add_run("r1", "/post/1", **{"prompt-prefix": "a:1"})
        self.assertEqual(
            self.find_violations(self.make_attempt(prompt="a:2")), ["prompt"]
        )

    def test_changed_body(self):
        # Of each request a replica must receive the body, be it its own or a fixed one.
        for sent, received, expected in (
            ({}, b"body of r2", ["body"]),
            ({}, b"", ["body"]),
            ({"sent_body": b"hot body"}, b"hot body", []),
            ({"sent_body": b"hot body"}, b"body of r1", ["body"]),
        ):
            with self.subTest(sent=sent, received=received):
                self.replica.runs.clear()
                self.add_run("r1", "/post/1", body=received)
                found = self.find_violations(self.make_attempt(**sent))
                self.assertEqual(found, expected)

    def test_body_or_method_of_a_request_without_a_body(self):
        body = b"i-1 GET /post/1" * 3
        for method, received, expected in (
            ("GET", b"", []),
            ("GET", b"x", ["body"]),
            ("POST", b"", ["body"]),
        ):
            with self.subTest(method=method, received=received):
                self.replica.runs.clear()
                self.add_run("r1", "/post/1", method, received)
                found = self.find_violations(self.make_attempt("look", body=body))
                self.assertEqual(found, expected)

    def test_stream_that_skips_an_event(self):
        self.add_run("r1", "/post/1")
        body = b"id: 1\ndata: word-1\n\nid: 3\ndata: word-3\n\n"
        stream = self.make_attempt("draft", body=body, events=2)
        self.assertEqual(self.find_violations(stream), ["order of events"])

    def test_stream_that_ends_early_but_looks_complete(self):
        self.add_run("r1", "/post/1")
        stream = self.make_attempt("draft", body=b"id: 1\ndata: word-1\n\n", events=2)
        self.assertEqual(self.find_violations(stream), ["complete stream"])

    def test_request_broken_off_by_planned_operations(self):
        self.add_run("r1", "/post/1")
        findings = Findings()
        cut = self.make_attempt(status=0, complete=False)
        check_fault_free(self.environment, [cut], findings)
        self.assertEqual(len(findings.texts), 1)

    def test_hot_request_that_is_refused(self):
        for served, expected in ((2, []), (1, ["hot request"])):
            attempts = [
                attrs.evolve(self.make_attempt(), target="/post/hot", status=status)
                for status in [200] * served + [503] * (4 - served)
            ]
            findings = Findings()
            check_hot_requests(attempts, findings)
            found = [text.partition(":")[0] for text in findings.texts]
            self.assertEqual(found, expected)


class GatewayStub:
    """A gateway's record of its signals, and its settings."""

    def __init__(self):
        self.name = "front-1"
        self.kill_spans, self.stop_times, self.cut_spans = [], [], []
        self.settings = {"limits": {"memory_mb": 128}}


class LostRequestTests(CheckTestCase):
    """A request that ends without a response must be found unless it is excepted."""

    def setUp(self):
        super().setUp()
        self.gateway = GatewayStub()
        self.environment.gateways.append(self.gateway)

    def find_lost(self, **fields):
        attempt = self.make_attempt(
            **{"status": 0, "complete": False, "closed": True} | fields
        )
        findings = Findings()
        check_lost(self.environment, [attempt], findings)
        return len(findings.texts)

    def harm(self, begin, end, replica_id="i-1"):
        self.environment.soundness.spans.append([replica_id, begin, end])

    def test_request_that_a_sound_replica_ran(self):
        self.add_run("r1", "/post/1")
        self.assertEqual(self.find_lost(), 1)
        self.assertEqual(self.find_lost(status=200), 1)

    def test_request_that_no_replica_received(self):
        self.assertEqual(self.find_lost(), 1)

    def test_request_that_a_harmed_replica_ran(self):
        self.add_run("r1", "/post/1")
        self.harm(0.0, 1.5)
        self.assertEqual(self.find_lost(), 0)

    def test_fault_at_another_time_or_replica_excepts_nothing(self):
        self.add_run("r1", "/post/1")
        self.harm(0.0, 0.5)
        self.harm(2.5, 3.0)
        self.harm(0.0, 3.0, "i-2")
        self.assertEqual(self.find_lost(), 1)

    def test_stream_whose_later_part_crashed(self):
        path = "127.0.0.1:8000=0-4,127.0.0.2:8000=4-8"
        self.add_run("r1", "/draft/1", **{"hop-count": path})
        later = FakeReplica("i-2", "gen", "127.0.0.2")
        self.environment.fleet.replicas["i-2"] = later
        self.assertEqual(self.find_lost(kind="draft", events=9), 1)
        later.crashes.append(1.5)
        self.assertEqual(self.find_lost(kind="draft", events=9), 0)

    def test_killed_gateway(self):
        self.add_run("r1", "/post/1")
        self.gateway.kill_spans += [(0.1, 0.9), (3.0, 3.1)]
        self.assertEqual(self.find_lost(), 1)
        self.gateway.kill_spans.append((1.5, 1.6))
        self.assertEqual(self.find_lost(), 0)

    def test_request_between_the_kill_signal_and_the_end_of_the_process(self):
        self.gateway.kill_spans.append((0.9, 1.5))
        self.assertEqual(self.find_lost(), 0)

    def test_terminated_gateway_may_close_kept_connections_before_the_run(self):
        self.gateway.stop_times.append(0.5)
        self.assertEqual(self.find_lost(reused=True), 0)
        self.assertEqual(self.find_lost(), 1)
        self.add_run("r1", "/post/1")
        self.assertEqual(self.find_lost(reused=True), 1)

    def test_gateway_that_is_cut_off_from_replicas(self):
        self.add_run("r1", "/post/1")
        self.gateway.cut_spans += [(0.1, 0.9), (3.0, 3.1)]
        self.assertEqual(self.find_lost(), 1)
        self.gateway.cut_spans.append((0.5, 1.6))
        self.assertEqual(self.find_lost(), 0)

    def test_memory_over_the_limit(self):
        for peak, count in ((127, 0), (129, 1)):
            self.environment.peak_memory["front-1"] = peak * 1_000_000
            findings = Findings()
            check_memory(self.environment, findings)
            self.assertEqual(len(findings.texts), count)


class NamedLimitTests(CheckTestCase):
    """A replica that gets more than the limit that it named must be found."""

    def find(self, rate, began=0.0, ended=20.0, interval=0.1):
        """Return the violations with arrivals at an interval."""
        replica = FakeReplica("i-9", "stock", "127.0.0.9")
        replica.arrivals = [it * interval for it in range(round(30.0 / interval))]
        self.environment.fleet.replicas["i-9"] = replica
        self.environment.limit_spans = [LimitSpan("i-9", rate, began, ended)]
        findings = Findings()
        check_limits(self.environment, findings)
        return len(findings.texts)

    def test_limit_that_is_kept(self):
        self.assertEqual(self.find(10.0), 0)

    def test_limit_that_is_exceeded(self):
        self.assertEqual(self.find(3.0), 1)

    def test_first_seconds_do_not_count(self):
        self.assertEqual(self.find(3.0, ended=2.9), 0)

    def test_gateway_that_was_cut_off_or_suspended_may_not_know(self):
        gateway = GatewayStub()
        self.environment.gateways.append(gateway)
        gateway.cut_spans.append((18.0, 21.0))
        self.assertEqual(self.find(3.0), 0)
        gateway.cut_spans.clear()
        self.environment.disturbances.append((5.0, 6.0))
        self.assertEqual(self.find(3.0), 0)
        self.environment.disturbances.clear()
        self.assertEqual(self.find(3.0), 1)


class CrashingPartTests(CheckTestCase):
    """A part that goes on crashing engines, or its neighbours' loss, must be found."""

    def find(self, arrivals, served):
        """Return the violations after ten streams before and after the crashes."""
        self.environment.callers.attempts = [
            self.make_attempt(
                "draft", events=3, prompt="a:1,b:2", status=status, began=began
            )
            for began, count in ((1.0, 10), (11.0, served))
            for status in [200] * count + [503] * (10 - count)
        ]
        self.environment.fleet.crashing_arrivals = arrivals
        findings = Findings()
        check_crashing_part(self.environment, (0.0, 5.0), (10.0, 15.0), findings)
        return [text.partition(":")[0] for text in findings.texts]

    def test_contained_part(self):
        self.assertEqual(self.find([1.0, 2.0, 3.0, 11.0, 12.0, 13.0], 5), [])

    def test_part_that_still_reaches_engines(self):
        self.assertEqual(self.find([10.0, 11.0, 12.0, 13.0], 10), ["crashing part"])

    def test_sound_requests_that_are_no_longer_served(self):
        self.assertEqual(self.find([], 4), ["sound requests beside a crashing part"])


class CrashingRequestTests(CheckTestCase):
    """A request that goes on crashing replicas, or others' loss, must be found."""

    RULE = CrashingRequest("depot", "POST", "/post/1", b"crash")

    #: Other requests: of the route, with another body, and of another caller.
    SOUND = {"target": "/post/2"}
    OTHER_BODY = {}
    OTHER_CALLER = {"sent_body": b"crash", "workspace": "yard"}

    def add(self, count, began, status, **fields):
        """Add attempts with a status."""
        for _ in range(count):
            attempt = self.make_attempt(status=status, began=began)
            for name, value in fields.items():
                setattr(attempt, name, value)
            self.environment.callers.attempts.append(attempt)

    def find(self, late=3, refused=7, sound=10, same_caller=10, same_body=10):
        """
        Return the violations after ten requests of each kind after the crashes.

        Parameters
        ----------
        late, refused : int
            Late arrivals, and refusals, of the crashing request.
        sound, same_caller, same_body : int
            Number of other requests of the route, and of the path with the same caller
            or body, that are served.
        """
        self.add(10, 1.0, 200, **self.SOUND)
        for status, count in ((503, refused), (502, 10 - refused)):
            self.add(count, 11.0, status, sent_body=b"crash")
        for kind, count in (
            (self.SOUND, sound),
            (self.OTHER_BODY, same_caller),
            (self.OTHER_CALLER, same_body),
        ):
            self.add(count, 11.0, 200, **kind)
            self.add(10 - count, 11.0, 503, **kind)
        self.environment.fleet.crashing_request_arrivals = [9.0] * 9 + [11.0] * late
        findings = Findings()
        after = (10.0, 15.0)
        check_refusal(self.environment, self.RULE, after, findings)
        check_others(self.environment, self.RULE, (0.0, 5.0), after, findings)
        return [text.partition(":")[0] for text in findings.texts]

    def test_contained_request(self):
        self.assertEqual(self.find(sound=5, same_caller=5, same_body=5), [])

    def test_request_that_still_reaches_replicas(self):
        self.assertEqual(self.find(late=4), ["crashing request"])

    def test_caller_that_is_not_told(self):
        self.assertEqual(self.find(refused=6), ["refusal of a crashing request"])

    def test_sound_requests_that_are_no_longer_served(self):
        expected = ["sound requests beside a crashing request"]
        self.assertEqual(self.find(sound=4), expected)

    def test_requests_with_the_same_path_that_are_refused_too(self):
        expected = ["same path and caller beside a crashing request"]
        self.assertEqual(self.find(same_caller=4), expected)
        self.environment.callers.attempts.clear()
        expected = ["same path and body beside a crashing request"]
        self.assertEqual(self.find(same_body=4), expected)

    def test_requests_of_other_times_are_not_counted(self):
        self.add(10, 9.0, 502, sent_body=b"crash")
        self.add(30, 9.0, 503, **self.SOUND)
        self.assertEqual(self.find(), [])
