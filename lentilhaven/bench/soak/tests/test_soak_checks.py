import unittest
from random import Random

from lentilhaven.bench.soak.soak_callers import Attempt
from lentilhaven.bench.soak.soak_checks import (
    Findings,
    check_attempts,
    check_fault_free,
)
from lentilhaven.bench.soak.soak_environment import SoakEnvironment
from lentilhaven.standins.platform import FakeFleet, FakeReplica, FakeStore
from lentilhaven.standins.platform.fake_replica import Run


class CheckTests(unittest.TestCase):
    """Every violated guarantee must be found."""

    def setUp(self):
        self.replica = FakeReplica("i-1", "stock", "127.0.0.1")
        store = FakeStore()
        fleet = FakeFleet(store, {"i-1": self.replica})
        self.environment = SoakEnvironment(Random(1), store, fleet, session=None)

    def add_run(self, request_id, target, **fields):
        fields = {"tenant": "depot"} | fields
        body = f"body of {request_id}".encode()
        self.replica.runs.append(Run(request_id, "POST", target, fields, body, 1.0))

    def make_attempt(self, kind="post", **fields):
        values = {
            "status": 200,
            "signature": "i-1.r1",
            "body": b"i-1 POST /post/1" * 3,
            "complete": True,
            "ended": 2.0,
        }
        return Attempt("r1", kind, "/post/1", "depot", 0, 1.0, **(values | fields))

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
