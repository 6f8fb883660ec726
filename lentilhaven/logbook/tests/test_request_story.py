import json
import unittest

from lentilhaven.logbook import read_lines, tell_story


def line(event, second, vm="vm-1", **fields):
    """Return a line of a log."""
    stamp = f"2026-08-11T09:27:{second:06.3f}Z"
    return json.dumps({"event": event, "timestamp": stamp, "vm": vm, **fields})


def tell(*lines, request="r1"):
    """Return the story of a request."""
    return tell_story(read_lines(lines), request)


class CauseTests(unittest.TestCase):
    def test_refused_under_load(self):
        story = tell(
            line("no chain", 1.0, request="r1", missing=[3, 4], usable=5, unusable=2),
            line("request ended", 1.1, request="r1", status=503),
        )
        self.assertIn("layers 3 to 4 were full", story.cause)
        self.assertIn("2 of 7", story.cause)

    def test_a_stream_behind_a_silent_stage(self):
        story = tell(
            line("endpoints suspected", 1.0, request="r1", endpoints=["e2"]),
            line(
                "chain tried",
                1.0,
                request="r1",
                parts=["e1=0-4", "e2=4-8"],
                outcome="silent at e1, ran unknown",
            ),
            line("stream broken off", 1.1, request="r1", events=7, kind="silent"),
            line("request ended", 1.1, request="r1", status=200),
            line("endpoint gone", 4.0, endpoint="e2"),
            line("endpoint gone", 4.0, vm="vm-2", endpoint="e2"),
            line("endpoint gone", 4.0, endpoint="e9"),
        )
        self.assertIn("after 7 events: silent", story.cause)
        self.assertEqual([it.fields["endpoint"] for it in story.beliefs], ["e2"])

    def test_a_posting_whose_end_is_not_known(self):
        story = tell(
            line(
                "replica tried",
                1.0,
                request="r1",
                endpoint="s1",
                outcome="timeout, ran unknown",
            ),
            line("request ended", 1.1, request="r1", status=504),
        )
        self.assertIn("whether it has run is not known", story.cause)

    def test_one_that_was_served(self):
        story = tell(
            line("replica tried", 1.0, request="r1", outcome="status 200"),
            line("request ended", 1.1, request="r1", status=200),
        )
        self.assertEqual(story.cause, "it ended as its endpoint answered it")


class MissingTests(unittest.TestCase):
    def test_a_request_that_no_line_names(self):
        story = tell(line("request ended", 1.0, request="other"))
        self.assertEqual(story.own, [])
        self.assertTrue(story.missing)

    def test_an_end_that_is_not_there_and_lines_that_were_left_out(self):
        story = tell(
            line("chain tried", 1.0, request="r1", outcome="done", dropped=3),
            "not a line",
        )
        text = " ".join(story.missing)
        for part in ("its end", "3 lines", "1 lines"):
            self.assertIn(part, text)

    def test_lines_of_a_collector_with_a_prefix(self):
        text = "12.3 vm-1 " + line("request ended", 1.0, request="r1", status=200)
        self.assertEqual(len(tell(text).own), 1)
