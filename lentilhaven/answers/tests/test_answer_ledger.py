import unittest

import attrs
from hypothesis import given, settings, strategies as st

from lentilhaven.answers import AnswerLedger, DropReason
from lentilhaven.endpoints import Piece, TrailEntry
from lentilhaven.tables import LayerRange


def make_piece(attempt=1, position=0, **changes):
    trail = [
        TrailEntry("a", LayerRange(0, 4), attempt),
        TrailEntry("b", LayerRange(4, 8), attempt),
    ]
    piece = Piece("r", attempt, position, "v1", f"t{position} ", trail)
    return attrs.evolve(piece, **changes)


def make_ledger():
    ledger = AnswerLedger("r", "v1", 8)
    ledger.begin_attempt(["a", "b"])
    return ledger


class AnswerLedgerTests(unittest.TestCase):
    def test_accepts_pieces_in_order(self):
        ledger = make_ledger()
        self.assertIsNone(ledger.accept(make_piece(position=0)))
        self.assertIsNone(ledger.accept(make_piece(position=1)))
        self.assertEqual(ledger.tokens, ["t0 ", "t1 "])

    def test_drops_what_is_not_the_next_piece(self):
        cases = {
            DropReason.FOREIGN_REQUEST: make_piece(request="other"),
            DropReason.STALE_ATTEMPT: make_piece(attempt=0),
            DropReason.OTHER_VERSION: make_piece(version="v2"),
            DropReason.GAP: make_piece(position=1),
            DropReason.BROKEN_TRAIL: make_piece(trail=[]),
        }
        for reason, piece in cases.items():
            with self.subTest(reason):
                ledger = make_ledger()
                self.assertIs(ledger.accept(piece), reason)
                self.assertEqual(ledger.tokens, [])

    def test_drops_a_trail_with_layers_out_of_order(self):
        piece = make_piece()
        ledger = make_ledger()
        ledger.chain.reverse()
        reason = ledger.accept(attrs.evolve(piece, trail=piece.trail[::-1]))
        self.assertIs(reason, DropReason.BROKEN_TRAIL)

    def test_drops_pieces_after_the_end(self):
        ledger = make_ledger()
        ledger.accept(make_piece(finish_reason="stop"))
        self.assertIs(ledger.accept(make_piece(position=1)), DropReason.AFTER_END)

    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5))))
    def test_any_interleaving_yields_a_prefix(self, arrivals):
        ledger = make_ledger()
        for attempt, position in arrivals:
            if attempt == 3:
                ledger.begin_attempt(["a", "b"])
            else:
                ledger.accept(make_piece(attempt, position))
        expected = [f"t{position} " for position in range(len(ledger.tokens))]
        self.assertEqual(ledger.tokens, expected)
