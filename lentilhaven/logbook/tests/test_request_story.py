import json
import unittest

from lentilhaven.logbook import diagnose_request, read_lines


def log_line(event, second, vm="vm-1", **fields):
    """Return a log line as JSON."""
    timestamp = f"2026-08-11T09:27:{second:06.3f}Z"
    return json.dumps({"event": event, "timestamp": timestamp, "vm": vm, **fields})


def diagnose(*lines, request="r1"):
    """Diagnose a request from log lines."""
    return diagnose_request(read_lines(lines), request)


class CauseTests(unittest.TestCase):
    def test_no_chain_under_load(self):
        diagnosis = diagnose(
            log_line(
                "no chain", 1.0, request="r1", missing=[3, 4], usable=5, unusable=2
            ),
            log_line("request ended", 1.1, request="r1", status=503),
        )
        self.assertIn("layers 3 to 4 were full", diagnosis.cause)
        self.assertIn("2 of 7", diagnosis.cause)

    def test_no_chain_in_time_for_the_caller(self):
        slow = log_line(
            "chain too slow", 1.0, request="r1", pause=3.2, patience=2.4, length=5
        )
        covered = log_line("no chain", 1.0, request="r1", missing=[])
        missing = log_line("no chain", 1.0, request="r1", missing=[3])
        refused = log_line("request ended", 1.1, request="r1", status=503)
        served = log_line("request ended", 1.1, request="r1", status=200)
        self.assertIn("paused for 3.2 s", diagnose(slow, covered, refused).cause)
        self.assertIn("layers 3 to 3", diagnose(slow, missing, refused).cause)
        self.assertNotIn("paused", diagnose(slow, served).cause)

    def test_pause_that_a_replica_asked_for_stands_beside_the_request(self):
        diagnosis = diagnose(
            log_line("endpoint wants no requests", 0.5, endpoint="s1", seconds=3.0),
            log_line(
                "replica tried",
                1.0,
                request="r1",
                endpoint="s1",
                outcome="withheld, ran no",
            ),
            log_line("request ended", 1.1, request="r1", status=503),
        )
        self.assertEqual(
            [it.event for it in diagnosis.related_lines],
            ["endpoint wants no requests"],
        )

    def explain_refusal(self, kind):
        """Return the cause of a refusal of a request that ends endpoints."""
        diagnosis = diagnose(
            log_line(
                "request refused since it ends endpoints",
                1.0,
                request="r1",
                kind=kind,
                subject="dead01",
                ends=4,
                age=2.5,
                seconds=117.5,
            ),
            log_line("request ended", 1.0, request="r1", status=503),
        )
        return diagnosis.cause

    def test_refusal_for_a_part_of_the_prompt(self):
        cause = self.explain_refusal("part")
        self.assertIn("4 endpoints have ended under part dead01", cause)

    def test_refusal_of_a_request_that_ends_endpoints(self):
        cause = self.explain_refusal("request")
        self.assertIn("4 endpoints have ended under the same request, dead01", cause)

    def test_end_of_its_endpoint_under_another_run_stands_beside_a_request(self):
        diagnosis = diagnose(
            log_line("run lost with its endpoint", 0.9, vm="vm-2", endpoint="e1"),
            log_line("chain tried", 1.0, request="r1", parts=["e1=0-8"], outcome="x"),
            log_line("request ended", 1.1, request="r1", status=502),
        )
        self.assertEqual(
            [it.event for it in diagnosis.related_lines],
            ["run lost with its endpoint"],
        )

    def test_stream_broken_off_by_a_silent_stage(self):
        diagnosis = diagnose(
            log_line("endpoints suspected", 1.0, request="r1", endpoints=["e2"]),
            log_line(
                "chain tried",
                1.0,
                request="r1",
                parts=["e1=0-4", "e2=4-8"],
                outcome="silent at e1, ran unknown",
            ),
            log_line("stream broken off", 1.1, request="r1", events=7, kind="silent"),
            log_line("request ended", 1.1, request="r1", status=200),
            log_line("endpoint gone", 4.0, endpoint="e2"),
            log_line("endpoint gone", 4.0, vm="vm-2", endpoint="e2"),
            log_line("endpoint gone", 4.0, endpoint="e9"),
        )
        self.assertIn("after 7 events: silent", diagnosis.cause)
        self.assertEqual(
            [it.fields["endpoint"] for it in diagnosis.related_lines], ["e2"]
        )

    def test_replica_attempt_with_unknown_outcome(self):
        diagnosis = diagnose(
            log_line(
                "replica tried",
                1.0,
                request="r1",
                endpoint="s1",
                outcome="timeout, ran unknown",
            ),
            log_line("request ended", 1.1, request="r1", status=504),
        )
        self.assertIn("whether it has run is not known", diagnosis.cause)

    def test_request_that_was_served(self):
        diagnosis = diagnose(
            log_line("replica tried", 1.0, request="r1", outcome="status 200"),
            log_line("request ended", 1.1, request="r1", status=200),
        )
        self.assertEqual(diagnosis.cause, "it ended as its endpoint answered it")


class MissingLineTests(unittest.TestCase):
    def test_request_without_lines(self):
        diagnosis = diagnose(log_line("request ended", 1.0, request="other"))
        self.assertEqual(diagnosis.request_lines, [])
        self.assertTrue(diagnosis.missing)

    def test_missing_end_and_dropped_and_unreadable_lines(self):
        diagnosis = diagnose(
            log_line("chain tried", 1.0, request="r1", outcome="done", dropped=3),
            "not a line",
        )
        text = " ".join(diagnosis.missing)
        for part in ("its end", "3 lines", "1 lines"):
            self.assertIn(part, text)

    def test_prefix_of_a_collector_is_ignored(self):
        text = "12.3 vm-1 " + log_line("request ended", 1.0, request="r1", status=200)
        self.assertEqual(len(diagnose(text).request_lines), 1)


def queue_line(event, second, request, priority, service="gen", **fields):
    """Return the log line of a decision of a queue."""
    return log_line(
        event, second, request=request, priority=priority, service=service, **fields
    )


class QueueTests(unittest.TestCase):
    WAITS, STARTS = "request waits", "request starts after a wait"

    def test_refusal_names_its_cause_and_what_it_rests_on(self):
        refused = queue_line(
            "request refused",
            1.0,
            "r1",
            2,
            cause="wait-too-long",
            predicted_ms=2400,
            ahead=9600,
            waiting=7,
            peers_age_ms=130,
        )
        cause = diagnose(refused).cause
        for part in ("2400 ms", "9600 tokens", "7 waiting", "priority 2", "130 ms old"):
            self.assertIn(part, cause)

    def test_cause_that_is_not_known_is_named(self):
        """Guards against an explanation of another refusal."""
        refused = queue_line("request refused", 1.0, "r1", 2, cause="frozen")
        self.assertIn("frozen", diagnose(refused).cause)

    def test_requests_before_it_are_found(self):
        """Guards against blame of requests of other queues or of later turns."""
        diagnosis = diagnose(
            queue_line(self.WAITS, 1.0, "urgent", 0),
            queue_line(self.WAITS, 1.1, "gone", 0),
            queue_line(self.WAITS, 1.2, "less-urgent", 2),
            queue_line(self.WAITS, 1.3, "other-service", 0, service="stock"),
            queue_line(self.WAITS, 1.4, "other-gateway", 0, vm="vm-2"),
            log_line("caller left", 1.5, request="gone", ms=400),
            queue_line(self.WAITS, 2.0, "r1", 1, predicted_ms=700, ahead=800),
            queue_line(self.WAITS, 2.1, "later", 0),
            queue_line(self.STARTS, 2.2, "later", 0),
            queue_line(self.STARTS, 2.5, "r1", 1),
            queue_line(self.STARTS, 2.6, "less-urgent", 2),
            log_line("request ended", 3.0, request="r1", status=200),
        )
        ahead = [it.fields["request"] for it in diagnosis.ahead_lines]
        self.assertEqual(ahead, ["urgent", "later"])
        self.assertIn("for 500 ms (700 ms predicted)", diagnosis.wait)

    def test_request_that_did_not_wait_has_none_before_it(self):
        diagnosis = diagnose(
            queue_line(self.WAITS, 1.0, "urgent", 0),
            log_line("request ended", 1.1, request="r1", status=200),
        )
        self.assertEqual((diagnosis.ahead_lines, diagnosis.wait), ([], ""))
