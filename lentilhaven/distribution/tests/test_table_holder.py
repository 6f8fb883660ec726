import unittest

import attrs
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from lentilhaven.core.invariants import InvariantError
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.distribution.table_holder import TableHolder
from lentilhaven.tables import Tables, Workspace
from lentilhaven.tables.parts import split_tables

HOLDERS = st.integers(0, 2)


def make_edit(tables, version, edit):
    parts = split_tables(tables)
    return TableHead(version, edit, "operator", list(parts)), parts


class HolderMachine(RuleBasedStateMachine):
    """Holders adopt heads from a store and from each other in any order."""

    def __init__(self):
        super().__init__()
        self.model = [Tables()]
        self.edits = [make_edit(Tables(), 0, "")]
        self.holders = [TableHolder() for _ in range(3)]
        self.highest = [0, 0, 0]

    @rule(weight=st.integers(1, 9))
    def commit(self, weight):
        version = len(self.model)
        added = Workspace(f"w{version % 4}", [], weight=float(weight))
        others = [it for it in self.model[-1].workspaces if it.id != added.id]
        tables = Tables(workspaces=[*others, added], version=version)
        self.model.append(tables)
        self.edits.append(make_edit(tables, version, f"edit-{version}"))

    @rule(holder=HOLDERS, lag=st.integers(0, 3))
    def adopt_from_a_lagging_store(self, holder, lag):
        version = max(0, len(self.edits) - 1 - lag)
        if version > 0:
            self.assert_outcome(holder, *self.edits[version])

    @rule(holder=HOLDERS, other=HOLDERS)
    def adopt_from_a_peer(self, holder, other):
        peer = self.holders[other]
        if peer.head.version > 0:
            documents = {part: peer.documents[part] for part in peer.head.parts}
            self.assert_outcome(holder, peer.head, documents)

    @rule(holder=HOLDERS)
    def restart(self, holder):
        self.holders[holder] = TableHolder()
        self.highest[holder] = 0

    def assert_outcome(self, holder, head, documents):
        newer = head.version > self.holders[holder].head.version
        assert self.holders[holder].adopt(head, documents).ok is newer

    @invariant()
    def versions_never_decrease_and_tables_match_the_model(self):
        for index, holder in enumerate(self.holders):
            assert holder.head.version >= self.highest[index]
            self.highest[index] = holder.head.version
            assert holder.tables == self.model[holder.head.version]


HolderMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
HolderMachineTests = HolderMachine.TestCase


class TableHolderTests(unittest.TestCase):
    def test_two_edits_of_one_version_break_the_invariant(self):
        holder = TableHolder()
        head, parts = make_edit(Tables(version=1), 1, "one")
        self.assertTrue(holder.adopt(head, parts).ok)
        with self.assertRaises(InvariantError):
            holder.adopt(attrs.evolve(head, edit="other"), parts)

    def test_invalid_tables_are_rejected_and_the_old_ones_stay(self):
        holder = TableHolder()
        bad = Tables(workspaces=[Workspace("w", ["no hash"])], version=1)
        self.assertEqual(
            holder.adopt(*make_edit(bad, 1, "one")).error.kind, "invalid-tables"
        )
        self.assertEqual(holder.head.version, 0)
