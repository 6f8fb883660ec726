import unittest

import attrs
from hypothesis import given, settings, strategies as st

from lentilhaven.answers.event_id import (
    ResumePoint,
    derive_key,
    encode_stream,
    read_event_id,
    sign_event,
)

KEY = derive_key("token")
RESUME_POINT = ResumePoint("w", "r", "llm", ["e1", "e2"], 100, position=7)


def make_id(key=KEY, **changes):
    point = attrs.evolve(RESUME_POINT, **changes)
    return sign_event(key, encode_stream(point), point.position, point.finished)


class EventIdTests(unittest.TestCase):
    def test_an_id_is_read_back(self):
        self.assertEqual(read_event_id(KEY, make_id(), "w", 100.0).ok, RESUME_POINT)
        finished = read_event_id(KEY, make_id(finished=True), "w", 0.0).ok
        self.assertTrue(finished.finished)

    def test_foreign_and_forged_ids_are_refused_alike(self):
        foreign = read_event_id(KEY, make_id(workspace="x"), "w", 0.0)
        forged = read_event_id(KEY, make_id(key=derive_key("other")), "w", 0.0)
        self.assertEqual(foreign.error, forged.error)
        self.assertEqual(foreign.error.kind, "resume-refused")

    def test_an_expired_id_has_its_own_failure(self):
        outcome = read_event_id(KEY, make_id(), "w", 100.1)
        self.assertEqual(outcome.error.kind, "resume-expired")

    def test_an_id_can_not_be_moved_to_another_position(self):
        parts = make_id().split(".")
        for index, value in ((1, "8"), (2, "1")):
            moved = ".".join([*parts[:index], value, *parts[index + 1 :]])
            outcome = read_event_id(KEY, moved, "w", 0.0)
            self.assertEqual(outcome.error.kind, "resume-refused")

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.text(max_size=200))
    def test_any_text_is_refused(self, text):
        outcome = read_event_id(KEY, text, "w", 0.0)
        self.assertEqual(outcome.error.kind, "resume-refused")

    @settings(max_examples=300, derandomize=True, deadline=None)
    @given(st.integers(0, 10**6), st.integers(1, 255))
    def test_any_changed_byte_is_refused(self, place, change):
        data = bytearray(make_id().encode())
        data[place % len(data)] ^= change
        text = data.decode("latin-1")
        outcome = read_event_id(KEY, text, "w", 0.0)
        # The last character of unpadded base64 has unused bits.
        if place % len(data) != len(data) - 1:
            self.assertTrue(outcome.is_error())
