"""What two gateways say to each other on a connection to an endpoint."""

import unittest

from hypothesis import given, settings, strategies as st

from lentilhaven.links.frames import (
    MAX_FRAME_BYTES,
    FrameDecoder,
    FrameError,
    StreamEnd,
    encode_frame,
    encode_mark,
)
from lentilhaven.links.handshake import (
    TunnelError,
    TunnelRequest,
    decode_answer,
    decode_request,
    encode_answer,
    encode_request,
)


class FrameTests(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(
        st.lists(st.binary(min_size=1, max_size=300), max_size=8),
        st.integers(1, 40),
        st.sampled_from(StreamEnd),
    )
    def test_what_was_sent_is_read_whatever_the_pieces(self, chunks, size, end):
        sent = b"".join(map(encode_frame, chunks)) + encode_mark(end)
        decoder = FrameDecoder()
        found = []
        for start in range(0, len(sent), size):
            found += decoder.feed(sent[start : start + size])
        self.assertEqual(found, [*chunks, end])

    def test_frame_that_is_too_long_is_refused_before_it_has_arrived(self):
        header = (MAX_FRAME_BYTES + 1).to_bytes(4, "big")
        with self.assertRaisesRegex(FrameError, str(MAX_FRAME_BYTES + 1)):
            FrameDecoder().feed(header)


class HandshakeTests(unittest.TestCase):
    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.text(), st.integers(), st.text())
    def test_request_is_read_as_written(self, endpoint, born, vm):
        request = TunnelRequest((endpoint, born), vm)
        self.assertEqual(decode_request(encode_request(request)), request)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.binary(max_size=80))
    def test_any_bytes_are_read_as_something(self, line):
        decode_request(line)
        self.assertIn(decode_answer(line), [None, *TunnelError])

    def test_answers_are_read_as_written(self):
        for answer in (None, *TunnelError):
            self.assertIs(decode_answer(encode_answer(answer)), answer)
