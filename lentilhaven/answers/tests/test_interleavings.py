import random
import unittest

import attrs
from hypothesis import given, settings, strategies as st

from lentilhaven.answers import AnswerLedger
from lentilhaven.endpoints import Piece, TrailEntry
from lentilhaven.standins.piece_faults import PieceFaults
from lentilhaven.standins.toy_model import reference_answer
from lentilhaven.tables import LayerRange

LAYERS = 6
LENGTH = 12
EXPECTED = reference_answer("v1", LAYERS, ["count "], LENGTH)
CHAINS = [["a", "b", "c"], ["a", "d", "c"], ["e", "b", "f"]]


def expected_piece(chain, attempt, position):
    """Return the piece that a chain without faults sends."""
    trail = [
        TrailEntry(name, LayerRange(2 * index, 2 * index + 2), attempt)
        for index, name in enumerate(chain)
    ]
    last = position == len(EXPECTED) - 1
    finish = "length" if last else ""
    return Piece("r", attempt, position, "v1", EXPECTED[position], trail, finish)


def corrupt_piece(piece, corruption):
    """Return a copy of a piece with one invalid field and a wrong token."""
    changes = {
        "request": {"request": "other"},
        "attempt-old": {"attempt": piece.attempt - 1},
        "attempt-new": {"attempt": piece.attempt + 1},
        "version": {"version": "v0"},
        "position-late": {"position": piece.position - 1},
        "position-early": {"position": piece.position + 1},
        "trail-short": {"trail": piece.trail[:-1]},
        "trail-double": {"trail": piece.trail + piece.trail[-1:]},
        "trail-reversed": {"trail": piece.trail[::-1]},
        "trail-mixed": {"trail": [change_attempt(it) for it in piece.trail]},
        "trail-gap": {"trail": [change_layers(it) for it in piece.trail]},
    }
    return attrs.evolve(piece, token="WRONG ", **changes[corruption])


CORRUPTIONS = [
    "request",
    "attempt-old",
    "attempt-new",
    "version",
    "position-late",
    "position-early",
    "trail-short",
    "trail-double",
    "trail-reversed",
    "trail-mixed",
    "trail-gap",
]


def change_attempt(entry):
    return attrs.evolve(entry, attempt=entry.attempt + entry.layers.start)


def change_layers(entry):
    layers = entry.layers
    if layers.start != 2:
        return entry
    return attrs.evolve(entry, layers=LayerRange(3, 4))


ACTIONS = st.one_of(
    st.tuples(st.just("attempt"), st.integers(0, len(CHAINS) - 1)),
    st.tuples(st.just("next"), st.just(0)),
    st.tuples(st.just("any"), st.integers(0, LENGTH - 1)),
    st.tuples(st.just("old"), st.integers(0, LENGTH - 1)),
    st.tuples(st.sampled_from(CORRUPTIONS), st.integers(0, LENGTH - 1)),
)


class InterleavingTests(unittest.TestCase):
    @settings(max_examples=500, derandomize=True, deadline=None)
    @given(st.lists(ACTIONS, max_size=60))
    def test_only_a_prefix_of_the_naive_answer_passes(self, actions):
        ledger = AnswerLedger("r", "v1", LAYERS)
        ledger.begin_attempt(CHAINS[0])
        forwarded, sent = [], [expected_piece(CHAINS[0], 1, 0)]
        for action, value in actions:
            next_position = min(len(ledger.tokens), len(EXPECTED) - 1)
            if action == "attempt":
                if not ledger.finish_reason:
                    ledger.begin_attempt(CHAINS[value])
                continue
            # A shifted position is invalid only if it is derived from the next one.
            at_next = action == "next" or action.startswith("position")
            position = next_position if at_next else min(value, len(EXPECTED) - 1)
            piece = expected_piece(ledger.chain, ledger.attempt, position)
            if action == "old":
                piece = sent[value % len(sent)]
            elif action in CORRUPTIONS:
                piece = corrupt_piece(piece, action)
            else:
                sent.append(piece)
            if ledger.accept(piece) is None:
                forwarded.append(piece.token)
            self.assertEqual(forwarded, EXPECTED[: len(forwarded)])
        self.assertEqual(forwarded, ledger.tokens)
        if ledger.finish_reason:
            self.assertEqual(forwarded, EXPECTED)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.integers(0, 10**6))
    def test_noise_never_passes_and_gaps_are_seen(self, seed):
        noise = PieceFaults(random.Random(seed), rate=0.5)
        ledger = AnswerLedger("r", "v1", LAYERS)
        ledger.begin_attempt(CHAINS[0])
        for _ in range(100):
            if ledger.finish_reason:
                break
            # Read the stream again from the first missing position.
            for position in range(len(ledger.tokens), len(EXPECTED)):
                right = expected_piece(CHAINS[0], ledger.attempt, position)
                for piece in noise.disturb(right):
                    ledger.accept(piece)
                if len(ledger.tokens) <= position and noise.held is None:
                    break
        self.assertEqual(ledger.tokens, EXPECTED)

    def test_a_gap_is_reported_until_it_is_filled(self):
        ledger = AnswerLedger("r", "v1", LAYERS)
        ledger.begin_attempt(CHAINS[0])
        ledger.accept(expected_piece(CHAINS[0], 1, 2))
        self.assertTrue(ledger.has_gap)
        for position in range(3):
            ledger.accept(expected_piece(CHAINS[0], 1, position))
        self.assertFalse(ledger.has_gap)
