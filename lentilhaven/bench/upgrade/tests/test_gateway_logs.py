import tempfile
import unittest
from pathlib import Path

from lentilhaven.bench.soak.soak_checks import Findings
from lentilhaven.bench.upgrade.gateway_logs import (
    Life,
    LogLine,
    check_defects,
    check_found,
    check_learned,
    check_silences,
    lines_of,
    read_log,
)

OWN = Life("front-1", "present", 100.0, 150.0)
PEER = Life("front-2", "older", 50.0, 150.0)


def line(at, event, peer=""):
    return LogLine(at, {"event": event, "peer": peer})


class PeerLogTests(unittest.TestCase):
    """Guard against datagrams that the other version does not understand."""

    def find(self, check, lines, lives=(OWN, PEER)):
        findings = Findings()
        check(OWN, lines, lives, findings)
        return len(findings.texts)

    def test_peer_that_was_not_found(self):
        self.assertEqual(self.find(check_found, []), 1)
        self.assertEqual(self.find(check_found, [line(103.0, "gateway found")]), 1)
        found = [line(103.0, "gateway found", "front-2")]
        self.assertEqual(self.find(check_found, found), 0)

    def test_peer_that_was_found_late(self):
        found = [line(105.0, "gateway found", "front-2")]
        self.assertEqual(self.find(check_found, found), 1)

    def test_peer_that_was_down_need_not_be_found(self):
        for began, ended in ((50.0, 102.0), (101.0, 150.0)):
            peer = Life("front-2", "older", began, ended)
            self.assertEqual(self.find(check_found, [], (OWN, peer)), 0)

    def test_peer_that_fell_silent(self):
        silent = [line(110.0, "gateway silent", "front-2")]
        self.assertEqual(self.find(check_silences, silent), 1)
        for began, ended in ((50.0, 108.0), (108.0, 150.0)):
            peer = Life("front-2", "older", began, ended)
            self.assertEqual(self.find(check_silences, silent, (OWN, peer)), 0)

    def test_new_replica_that_was_not_learned_of(self):
        for at, joined_at, count in (
            (111.0, 110.0, 0),
            (113.0, 110.0, 1),
            # The process ends too early, or has started too late.
            (0.0, 149.0, 0),
            (0.0, 99.0, 0),
        ):
            fields = {"event": "endpoint changed", "endpoint": "i-1"}
            findings = Findings()
            lines = [LogLine(at, fields)]
            check_learned(OWN, lines, {"i-1": joined_at}, findings)
            self.assertEqual(len(findings.texts), count)

    def test_defect(self):
        findings = Findings()
        lines = [line(101.0, "gateway found"), line(102.0, "background task failed")]
        check_defects(OWN, lines, findings)
        self.assertEqual(len(findings.texts), 1)


class ReadLogTests(unittest.TestCase):
    """Lines of a log belong to the process that wrote them."""

    def test_lines_by_process_and_other_texts(self):
        text = (
            '{"event": "a", "timestamp": "1970-01-01T00:01:39Z"}\n'
            '{"event": "b", "timestamp": "1970-01-01T00:01:41Z"}\n'
            "Traceback (most recent call last):\n"
            '{"event": "c", "time'
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "front-1.log")
            path.write_text(text)
            lines, others = read_log(path)
        self.assertEqual([it.at for it in lines], [99.0, 101.0])
        self.assertEqual(len(others), 2)
        own = lines_of(OWN, lines)
        self.assertEqual([it.fields["event"] for it in own], ["b"])
