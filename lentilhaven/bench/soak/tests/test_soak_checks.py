import unittest
from random import Random

from lentilhaven.bench.soak.soak_callers import Attempt
from lentilhaven.bench.soak.soak_checks import Findings, check_attempts, check_calm
from lentilhaven.bench.soak.soak_world import SoakWorld
from lentilhaven.standins.platform import FakeFleet, FakeReplica, FakeStore
from lentilhaven.standins.platform.fake_replica import Run


class CheckTests(unittest.TestCase):
    """Each broken promise must be found."""

    def setUp(self):
        self.replica = FakeReplica("i-1", "stock", "127.0.0.1")
        store = FakeStore()
        fleet = FakeFleet(store, {"i-1": self.replica})
        self.world = SoakWorld(Random(1), store, fleet, session=None)

    def note_run(self, name, target, **fields):
        fields = {"tenant": "depot"} | fields
        body = f"body of {name}".encode()
        self.replica.runs.append(Run(name, "POST", target, fields, body, 1.0))

    def attempt(self, kind="post", **fields):
        values = {
            "status": 200,
            "signature": "i-1.r1",
            "body": b"i-1 POST /post/1" * 3,
            "complete": True,
            "ended": 2.0,
        }
        return Attempt("r1", kind, "/post/1", "depot", 0, 1.0, **(values | fields))

    def found(self, attempt):
        findings = Findings()
        check_attempts(self.world, [attempt], findings)
        return [text.partition(":")[0] for text in findings.texts]

    def test_a_good_answer_breaks_nothing(self):
        self.note_run("r1", "/post/1")
        self.assertEqual(self.found(self.attempt()), [])

    def test_a_second_run(self):
        self.note_run("r1", "/post/1")
        self.note_run("r1", "/post/1")
        self.assertIn("at most once", self.found(self.attempt()))

    def test_a_false_not_run(self):
        self.note_run("r1", "/post/1")
        self.assertEqual(self.found(self.attempt(status=503)), ["not run"])

    def test_an_answer_of_another_request(self):
        self.note_run("r1", "/post/1")
        self.assertEqual(
            self.found(self.attempt(signature="i-1.r2")), ["answer of another"]
        )

    def test_an_answer_that_is_not_whole(self):
        self.note_run("r1", "/post/1")
        self.assertEqual(self.found(self.attempt(body=b"i-1")), ["whole answer"])

    def test_a_request_that_nobody_sent(self):
        self.note_run("r1", "/post/1")
        self.note_run("r9", "/post/9")
        self.assertEqual(self.found(self.attempt()), ["nobody asked for it"])

    def test_another_workspace_and_a_key(self):
        self.note_run("r1", "/post/1", tenant="yard", authorization="Bearer k")
        self.assertEqual(self.found(self.attempt()), ["workspace", "key passed on"])

    def test_a_stream_that_skips_an_event(self):
        self.note_run("r1", "/post/1")
        body = b"id: 1\ndata: word-1\n\nid: 3\ndata: word-3\n\n"
        stream = self.attempt("draft", body=body, events=2)
        self.assertEqual(self.found(stream), ["order of events"])

    def test_a_stream_that_looks_complete_too_early(self):
        self.note_run("r1", "/post/1")
        stream = self.attempt("draft", body=b"id: 1\ndata: word-1\n\n", events=2)
        self.assertEqual(self.found(stream), ["complete stream"])

    def test_planned_work_that_cuts_a_request_off(self):
        self.note_run("r1", "/post/1")
        findings = Findings()
        cut = self.attempt(status=0, complete=False)
        check_calm(self.world, [cut], findings)
        self.assertEqual(len(findings.texts), 1)
