import random
import unittest

from hypothesis import given, settings, strategies as st

from lentilhaven.core.clock import Clock
from lentilhaven.membership import Fact, FactTable, Members, Topic, choose_owners
from lentilhaven.membership.fact_table import FACT_LIFETIME
from lentilhaven.objects import ListedVm, VmList, VmState


def make_vms(count, data_centres=3):
    return [
        ListedVm(f"vm-{i}", f"http://h:{i}", f"dc-{i % data_centres}")
        for i in range(count)
    ]


def make_members(count=9):
    members = Members("vm-0", "dc-0")
    members.adopt_list(VmList(1, make_vms(count)))
    return members


class ManualClock:
    def __init__(self):
        self.now = 0.0
        self.clock = Clock(lambda: self.now, lambda: self.now, None)


class KeyOwnershipTests(unittest.TestCase):
    @settings(max_examples=50, derandomize=True, deadline=None)
    @given(st.integers(2, 40), st.randoms(use_true_random=False))
    def test_only_the_keys_of_the_leaving_vm_move(self, count, source):
        names = [f"vm-{i}" for i in range(count)]
        gone = source.choice(names)
        remaining = [name for name in names if name != gone]
        for key in range(30):
            before = choose_owners(f"k{key}", names, 1)
            if before != [gone]:
                self.assertEqual(choose_owners(f"k{key}", remaining, 1), before)

    def test_a_vm_that_sees_no_live_vm_owns_every_key(self):
        self.assertTrue(Members("vm-0", "dc-0").owns("watch", 2))


class SuspicionTests(unittest.TestCase):
    def test_one_monitor_is_not_enough(self):
        members = make_members()
        first, second, _ = members.monitors["vm-5"]
        members.votes = {"vm-5": {first: 0}}
        self.assertFalse(members.is_suspected("vm-5"))
        members.votes = {"vm-5": {first: 0, second: 0}}
        self.assertTrue(members.is_suspected("vm-5"))
        members.notify_changed()
        self.assertNotIn("vm-5", members.live_ids())
        self.assertIsNotNone(members.find("vm-5"))

    def test_a_vote_of_a_vm_that_is_no_monitor_does_not_count(self):
        members = make_members()
        monitors = members.monitors["vm-5"]
        others = [f"vm-{i}" for i in range(9) if f"vm-{i}" not in monitors]
        members.votes = {"vm-5": dict.fromkeys(others, 0)}
        self.assertFalse(members.is_suspected("vm-5"))

    def test_a_suspicion_does_not_apply_to_a_newer_incarnation(self):
        members = make_members()
        members.record_incarnation("vm-5", 7)
        members.votes = {"vm-5": dict.fromkeys(members.monitors["vm-5"], 7)}
        self.assertTrue(members.is_suspected("vm-5"))
        members.record_incarnation("vm-5", 8)
        self.assertFalse(members.is_suspected("vm-5"))

    def test_an_older_list_is_not_adopted(self):
        members = make_members()
        self.assertFalse(members.adopt_list(VmList(1, [])))
        self.assertEqual(len(members.live()), 9)

    def test_a_leaving_vm_owns_nothing(self):
        members = make_members()
        members.leaving = {"vm-0"}
        members.notify_changed()
        self.assertEqual(members.own_state, VmState.LEAVING)
        self.assertNotIn("vm-0", members.live_ids())

    def test_the_number_of_subjects_per_vm_is_bounded(self):
        members = make_members(300)
        assigned = [it for its in members.monitors.values() for it in its]
        self.assertEqual({len(it) for it in members.monitors.values()}, {3})
        self.assertLess(max(assigned.count(vm) for vm in set(assigned)), 20)


class FactTests(unittest.TestCase):
    def test_age_is_sent_with_a_fact_and_old_facts_are_dropped(self):
        manual = ManualClock()
        first, second = FactTable(manual.clock), FactTable(manual.clock)
        first.update_own(Topic.LOAD, "vm-1", 1, ["x"])
        manual.now = 4.0
        second.merge(first.newer_than({}), transport=0.5)
        manual.now = 6.0
        self.assertAlmostEqual(second.age_of("load/vm-1"), 6.5)
        manual.now = FACT_LIFETIME + 1.0
        second.drop_expired()
        self.assertEqual(second.facts_on(Topic.LOAD), [])
        self.assertEqual(second.merge(first.newer_than({})), [])

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 4)), max_size=12))
    def test_order_of_arrival_does_not_matter(self, stamps):
        manual = ManualClock()
        facts = [Fact("load", "vm-1", *stamp, 0.0, list(stamp)) for stamp in stamps]
        shuffled = list(facts)
        random.Random(1).shuffle(shuffled)
        tables = [FactTable(manual.clock), FactTable(manual.clock)]
        tables[0].merge(facts)
        for fact in shuffled:
            tables[1].merge([fact])
        self.assertEqual(tables[0].version_vector, tables[1].version_vector)
        self.assertEqual(tables[0].digest, tables[1].digest)

    def test_publishing_an_equal_value_changes_nothing(self):
        manual = ManualClock()
        table = FactTable(manual.clock)
        self.assertIsNotNone(table.update_own(Topic.SUSPECTS, "vm-1", 1, {"vm-2": 1}))
        self.assertIsNone(table.update_own(Topic.SUSPECTS, "vm-1", 1, {"vm-2": 1}))
        self.assertIsNotNone(table.update_own(Topic.SUSPECTS, "vm-1", 1, None))
