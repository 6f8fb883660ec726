"""Clients that are not controlled ended processes for want of memory."""

import asyncio
import unittest

from lentilhaven.bench.crowd import run_crowd


class CrowdCase(unittest.TestCase):
    """Runs one crowd against a process with lowered limits."""

    def check(self, name, listener="callers", program="gateway"):
        """Check that the process lives within its limits and still answers."""
        outcome = asyncio.run(run_crowd(program, listener, name))
        self.assertTrue(outcome.lives, "the process has ended")
        self.assertTrue(outcome.is_answered, "an ordinary request got no answer")
        self.assertLessEqual(outcome.memory, outcome.memory_bound)
        self.assertLessEqual(outcome.descriptors, outcome.descriptor_bound)


class HeadTests(CrowdCase):
    """Guards against heads without end that are held or copied into errors."""

    def test_letters_of_a_method(self):
        self.check("method")

    def test_request_line(self):
        self.check("request-line")

    def test_field_value(self):
        self.check("field-value")

    def test_repeated_field(self):
        self.check("repeated-field")

    def test_distinct_fields(self):
        self.check("distinct-fields")

    def test_blank_lines(self):
        self.check("blank-lines")


class BodyTests(CrowdCase):
    """Guards against framing of bodies that costs memory or time without end."""

    def test_chunks_of_one_byte(self):
        self.check("one-byte-chunks")

    def test_chunk_extension(self):
        self.check("chunk-extension")

    def test_trailers(self):
        self.check("trailers")


class QueueTests(CrowdCase):
    """Guards against requests, and bytes behind them, that queue without a bound."""

    def test_bytes_after_an_upgrade(self):
        self.check("upgrade-tail")

    def test_bytes_after_the_last_request(self):
        self.check("close-tail")

    def test_pipelined_bodies(self):
        self.check("pipelined-bodies")

    def test_pipelined_requests_with_unread_answers(self):
        self.check("pipelined-unread")

    def test_pipelined_requests_that_are_refused(self):
        self.check("pipelined-refused")

    def test_silent_connections(self):
        self.check("silent")


class OtherListenerTests(CrowdCase):
    """Guards against the same at listeners that callers do not use."""

    def test_method_at_the_readiness_listener(self):
        self.check("method", "ready")

    def test_silence_at_the_readiness_listener(self):
        self.check("silent", "ready")

    def test_field_value_at_the_metrics_listener(self):
        self.check("field-value", "metrics")

    def test_upgrade_at_the_listener_for_other_gateways(self):
        self.check("upgrade-tail", "peers")

    def test_silence_at_the_listener_for_other_gateways(self):
        self.check("silent", "peers")


class RouterTests(CrowdCase):
    """Guards against the same at the listeners of the router, with and without TLS."""

    def test_bytes_after_the_last_request(self):
        self.check("close-tail", program="router")

    def test_pipelined_bodies(self):
        self.check("pipelined-bodies", program="router")

    def test_silent_connections(self):
        self.check("silent", program="router")

    def test_handshakes_that_stop_halfway(self):
        self.check("half-handshake", "operators", "router")

    def test_records_of_a_few_bytes(self):
        self.check("small-records", "operators", "router")
