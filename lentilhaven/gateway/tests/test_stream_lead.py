import unittest

from lentilhaven.gateway.stream_lead import StreamLead, StreamRun, SupersededError
from lentilhaven.upstream.exchange import Exchange


def make_run(last_event_id=""):
    """Return a run that was asked for the events after one."""
    return StreamRun(None, Exchange("r1"), None, 0.0, last_event_id=last_event_id)


class StreamLeadTests(unittest.TestCase):
    def setUp(self):
        self.lead = StreamLead()
        self.runs = [make_run() for _ in range(3)]

    def begin(self, *numbers):
        for number in numbers:
            self.lead.begin(self.runs[number])

    def check_superseded(self, run, last_event_id=""):
        with self.assertRaises(SupersededError):
            self.lead.claim(run, last_event_id)

    def test_the_earlier_event_decides(self):
        first, second, _ = self.runs
        self.begin(0, 1)
        self.assertTrue(self.lead.claim(second, ""))
        self.assertFalse(self.lead.claim(second, ""))
        self.assertIsInstance(first.exchange.error, SupersededError)
        self.check_superseded(first)

    def test_leader_that_goes_on_keeps_the_lead(self):
        first, second, _ = self.runs
        self.begin(0, 1)
        self.assertFalse(self.lead.claim(first, ""))
        self.check_superseded(second)
        self.lead.end(first)
        self.check_superseded(second)

    def test_run_that_never_led_does_not_take_the_lead_back(self):
        first, second, third = self.runs
        self.begin(0, 1)
        self.lead.end(first)
        self.assertIs(self.lead.leader, second)
        self.begin(2)
        self.assertTrue(self.lead.claim(third, ""))
        for _ in range(2):
            self.check_superseded(second)
            self.lead.end(second)
        self.assertFalse(self.lead.claim(third, ""))

    def test_run_begins_only_after_the_last_event(self):
        stale, later = make_run("3"), make_run("5")
        self.begin(0)
        self.runs[0].last_event_id = "5"
        self.lead.begin(stale)
        self.check_superseded(stale, "5")
        self.lead.end(self.runs[0])
        self.check_superseded(stale, "5")
        self.lead.end(stale)
        self.lead.begin(later)
        self.assertFalse(self.lead.claim(later, "5"))
