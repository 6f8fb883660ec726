import unittest

import attrs
from hypothesis import given, settings, strategies as st

from lentilhaven.agent.view_feed import ViewFeed
from lentilhaven.control.view import EndpointState, EndpointView, View
from lentilhaven.control.view_update import ViewUpdate
from lentilhaven.core.converter import CONVERTER, to_document
from lentilhaven.distribution.table_head import TableHead
from lentilhaven.distribution.table_holder import TableHolder
from lentilhaven.router.view_holder import ViewHolder
from lentilhaven.tables import Tables, Workspace
from lentilhaven.tables.parts import split_tables

NAMES = ["a", "b", "c"]


def adopt_tables(holder, version, workspace_count):
    workspaces = [
        Workspace(f"w{index}", [f"sha256:{index:064x}"])
        for index in range(workspace_count)
    ]
    parts = split_tables(Tables(workspaces=workspaces))
    head = TableHead(version, f"edit-{version}", "test", list(parts))
    return holder.adopt(head, parts).ok


def round_trip(update):
    return CONVERTER.structure(to_document(update), ViewUpdate)


class ViewHolderTests(unittest.TestCase):
    def setUp(self):
        self.tables = TableHolder()
        self.feed = ViewFeed(run=1)
        self.holder = ViewHolder()
        self.sequence = 0

    def send(self, endpoints, lost=False):
        self.sequence += 1
        view = View(self.sequence, self.tables.tables, endpoints)
        version = self.holder.tables.head.version or -1
        update = self.feed.update(
            view, self.tables, self.holder.run, self.holder.sequence, version
        )
        if lost:
            return view, None
        return view, self.holder.adopt(round_trip(update), 0.0).ok

    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.dictionaries(st.sampled_from(NAMES), st.sampled_from(EndpointState)),
                st.sampled_from(["send", "lose", "edit", "restart"]),
            ),
            max_size=25,
        )
    )
    def test_updates_reproduce_the_view_of_the_agent(self, steps):
        self.setUp()
        version = 0
        for states, action in steps:
            if action == "edit":
                version += 1
                adopt_tables(self.tables, version, version)
            if action == "restart":
                self.feed = ViewFeed(run=self.feed.run + 1)
            endpoints = {name: EndpointView(state) for name, state in states.items()}
            sent, received = self.send(endpoints, lost=action == "lose")
            if received is not None:
                self.assertEqual(received, sent)

    def test_an_agent_that_restarted_with_older_tables_reverts_nothing(self):
        adopt_tables(self.tables, 1, 1)
        older = self.tables
        self.tables = TableHolder()
        adopt_tables(self.tables, 2, 2)
        self.send({})
        self.tables, self.feed = older, ViewFeed(run=2)
        _, received = self.send({})
        self.assertEqual(received.tables.version, 2)

    def test_an_update_without_a_needed_part_requests_a_full_view(self):
        adopt_tables(self.tables, 1, 3)
        update = self.feed.update(
            View(1, self.tables.tables), self.tables, run=-1, after=-1, version=-1
        )
        broken = attrs.evolve(update, tables=attrs.evolve(update.tables, parts={}))
        outcome = self.holder.adopt(broken, 0.0)
        self.assertEqual(outcome.error.kind, "missing-part")
        self.assertEqual(self.holder.sequence, -1)

    def test_an_edit_sends_only_the_changed_parts(self):
        adopt_tables(self.tables, 1, 4000)
        self.send({})
        adopt_tables(self.tables, 2, 4001)
        view = View(9, self.tables.tables)
        update = self.feed.update(view, self.tables, 1, self.holder.sequence, 1)
        self.assertEqual(len(update.tables.parts), 1)

    def test_reports_grow_older_from_their_receipt(self):
        self.send({"a": EndpointView(EndpointState.LIVE, age=0.5)})
        self.assertEqual(self.holder.report_age("a", 2.0), 2.5)
