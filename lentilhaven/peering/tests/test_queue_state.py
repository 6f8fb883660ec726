import json
import unittest
import zlib

import attrs
from hypothesis import given, settings, strategies as st

from lentilhaven.peering.member import Member
from lentilhaven.peering.messages import (
    PeerMessage,
    Scope,
    decode_message,
    encode_message,
)
from lentilhaven.peering.peer_table import LOAD_EXPIRY, PeerTable
from lentilhaven.peering.queue_state import (
    MAX_HEAVY,
    QueueState,
    decode_queues,
    decode_unread,
)

#: JSON values that no gateway sends, and one that it does.
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=3)
    | st.just(800),
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(st.text(max_size=3), inner)
    ),
    max_leaves=20,
)

STATES = st.builds(
    QueueState,
    st.dictionaries(
        st.integers(0, 3), st.tuples(st.integers(1, 99), st.floats(0.0, 1e6))
    ),
    st.dictionaries(st.integers(0, 3), st.floats(0.0, 1e6)),
    st.lists(
        st.tuples(st.sampled_from("abc"), st.integers(0, 3), st.floats(0.0, 1e6)),
        max_size=5,
    ).map(tuple),
)


def message(number=2, **other):
    """Return the first datagram of a gateway."""
    return PeerMessage(f"vm-{number}", "r", f"10.0.0.{number}:7000", 1, **other)


def table_with(*messages):
    """Return the table of a gateway that has received datagrams at time 0."""
    table = PeerTable(Member("10.0.0.1:7000", "here"), "vm-1")
    for it in messages:
        table.receive(it, 0.0)
    return table


class FormatTests(unittest.TestCase):
    def test_datagram_without_scarcity_has_the_fields_of_the_release_before(self):
        """Guards against more traffic in deployments where nothing waits."""
        idle = message(queues={"gen": QueueState({0: (0, 0.0)})}, unread={"e": 0.01})
        fields = json.loads(zlib.decompress(encode_message(idle)))
        self.assertFalse({"queues", "unread"} & set(fields))

    def test_malformed_entries_are_ignored_one_by_one(self):
        """Guards against the loss of a datagram's load for one bad entry."""
        good = [[0, 2, 800], [0.5, 1, 8], [1, -1, 8], [2, 1, 1e300], [3, 1, "8"], 7]
        value = {"gen": [good, [[0, True], [1, 9]], [["a" * 999, 0, 9], ["b", 0, 9]]]}
        expected = QueueState({0: (2, 800)}, {1: 9}, (("b", 0, 9),))
        self.assertEqual(decode_queues(value), {"gen": expected})
        unread = {"e": 40, "f": -1, "g": None, "h\n": 40}
        self.assertEqual(decode_unread(unread), {"e": 40})

    @settings(derandomize=True)
    @given(VALUES)
    def test_any_value_is_read_without_an_error(self, value):
        """Guards against a peer that makes gateways deaf to its load."""
        for state in decode_queues(value).values():
            self.assertEqual(state, state.rounded())
        decode_unread(value)

    @settings(derandomize=True)
    @given(STATES)
    def test_what_is_sent_is_read(self, state):
        sent = message(queues={"gen": state}, unread={"e": 17.3})
        found = decode_message(encode_message(sent))
        self.assertEqual(found.queues.get("gen", QueueState()), state.rounded())
        self.assertEqual(found.unread, {"e": 17})


class SumTests(unittest.TestCase):
    @settings(derandomize=True)
    @given(st.lists(STATES, min_size=1, max_size=4))
    def test_sum_less_its_parts_is_empty(self, states):
        """Guards against remainders of silent gateways that count for ever."""
        messages = [
            message(index + 2, queues={"gen": state.rounded()}, unread={"e": 0.125})
            for index, state in enumerate(states)
        ]
        table = table_with(*messages)
        self.assertEqual(table.load_of_others(0.0).queues.unread["e"], len(states) / 8)
        table.expire(LOAD_EXPIRY + 0.1)
        queues = table.load_of_others(LOAD_EXPIRY + 0.1).queues
        self.assertEqual((queues.states(), queues.unread), ({}, {}))

    def test_heaviest_workspaces_of_a_sum_are_bounded(self):
        table = table_with(
            *[
                message(
                    number,
                    queues={"gen": QueueState(heavy=((f"w{number}", 0, number),))},
                )
                for number in range(2, 30)
            ]
        )
        heavy = table.load_of_others(0.0).queues.state_of("gen").heavy
        self.assertEqual(heavy[0], ("w29", 0, 29))
        self.assertEqual(len(heavy), MAX_HEAVY)


class ReportTests(unittest.TestCase):
    def reports(self, *messages, now=0.2):
        return table_with(*messages).queue_reports("gen", now)

    def test_silent_gateway_reports_nothing(self):
        queued = message(queues={"gen": QueueState({0: (1, 800.0)})})
        self.assertEqual(self.reports(queued)[0].state.waiting, {0: (1, 800.0)})
        self.assertEqual(self.reports(queued, now=LOAD_EXPIRY), [])

    def test_active_gateway_without_queues_is_of_an_older_build(self):
        """Guards against taking its silence about its queue for an empty queue."""
        self.assertIsNone(self.reports(message(attempts={"gen": 3.0}))[0].state)
        self.assertEqual(self.reports(message(attempts={}))[0].state, QueueState())

    def test_gateway_that_has_reported_a_queue_stays_of_this_build(self):
        """Guards against an own part of the room while peers have an empty queue."""
        first = message(queues={"stock": QueueState({0: (1, 8.0)})})
        idle = attrs.evolve(message(attempts={"gen": 3.0}), number=2)
        self.assertEqual(self.reports(first, idle)[0].state, QueueState())
        restarted = attrs.evolve(idle, run="s")
        self.assertIsNone(self.reports(first, restarted)[0].state)

    def test_own_queue_in_a_sum_over_all_does_not_count(self):
        """Guards against work that waits for itself."""
        queues = {"gen": QueueState({0: (3, 900.0)})}
        table = table_with(message(queues=queues, scope=Scope.FLEET, gateways=9))
        table.reported_load.queues.add({"gen": QueueState({0: (1, 700.0)})}, {})
        (report,) = table.queue_reports("gen", 0.3)
        self.assertEqual(report.state.waiting, {0: (2, 200.0)})
        self.assertEqual((report.age, report.gateways), (0.3, 8))
