import random
import unittest

from hypothesis import given, settings, strategies as st

from lentilhaven.core.clock import Clock
from lentilhaven.membership import Fact, FactTable, Members, Topic, choose_owners
from lentilhaven.membership.fact_table import FACT_LIFE
from lentilhaven.objects import ListedVm, VmList, VmState


def make_vms(count, places=3):
    return [
        ListedVm(f"vm-{i}", f"http://h:{i}", f"dc-{i % places}") for i in range(count)
    ]


def make_members(count=9):
    members = Members("vm-0", "dc-0")
    members.adopt_list(VmList(1, make_vms(count)))
    return members


class SteppedClock:
    def __init__(self):
        self.now = 0.0
        self.clock = Clock(lambda: self.now, lambda: self.now, None)


class DutyTests(unittest.TestCase):
    @settings(max_examples=50, derandomize=True, deadline=None)
    @given(st.integers(2, 40), st.randoms(use_true_random=False))
    def test_only_the_duties_of_the_leaving_vm_move(self, count, source):
        names = [f"vm-{i}" for i in range(count)]
        gone = source.choice(names)
        left = [name for name in names if name != gone]
        for key in range(30):
            before = choose_owners(f"k{key}", names, 1)
            if before != [gone]:
                self.assertEqual(choose_owners(f"k{key}", left, 1), before)

    def test_a_vm_without_any_live_vm_takes_the_duty(self):
        self.assertTrue(Members("vm-0", "dc-0").owns("watch", 2))


class SuspicionTests(unittest.TestCase):
    def test_one_monitor_is_not_enough(self):
        members = make_members()
        first, second, _ = members.monitors["vm-5"]
        members.votes = {"vm-5": {first: 0}}
        self.assertFalse(members.suspected("vm-5"))
        members.votes = {"vm-5": {first: 0, second: 0}}
        self.assertTrue(members.suspected("vm-5"))
        members.touch()
        self.assertNotIn("vm-5", members.live_ids())
        self.assertIsNotNone(members.find("vm-5"))

    def test_a_vote_of_a_vm_that_is_no_monitor_does_not_count(self):
        members = make_members()
        monitors = members.monitors["vm-5"]
        others = [f"vm-{i}" for i in range(9) if f"vm-{i}" not in monitors]
        members.votes = {"vm-5": dict.fromkeys(others, 0)}
        self.assertFalse(members.suspected("vm-5"))

    def test_a_restarted_vm_is_another_incarnation(self):
        members = make_members()
        members.note_incarnation("vm-5", 7)
        members.votes = {"vm-5": dict.fromkeys(members.monitors["vm-5"], 7)}
        self.assertTrue(members.suspected("vm-5"))
        members.note_incarnation("vm-5", 8)
        self.assertFalse(members.suspected("vm-5"))

    def test_an_older_list_is_not_adopted(self):
        members = make_members()
        self.assertFalse(members.adopt_list(VmList(1, [])))
        self.assertEqual(len(members.live()), 9)

    def test_a_leaving_vm_owns_nothing(self):
        members = make_members()
        members.leaving = {"vm-0"}
        members.touch()
        self.assertEqual(members.own_state, VmState.LEAVING)
        self.assertNotIn("vm-0", members.live_ids())

    def test_each_vm_monitors_few_others(self):
        members = make_members(300)
        subjects = [it for its in members.monitors.values() for it in its]
        self.assertEqual({len(it) for it in members.monitors.values()}, {3})
        self.assertLess(max(subjects.count(vm) for vm in set(subjects)), 20)


class FactTests(unittest.TestCase):
    def test_age_travels_and_old_facts_are_forgotten(self):
        stepped = SteppedClock()
        first, second = FactTable(stepped.clock), FactTable(stepped.clock)
        first.state(Topic.LOAD, "vm-1", 1, ["x"])
        stepped.now = 4.0
        second.merge(first.newer_than({}), transport=0.5)
        stepped.now = 6.0
        self.assertAlmostEqual(second.age_of("load/vm-1"), 6.5)
        stepped.now = FACT_LIFE + 1.0
        second.forget_old()
        self.assertEqual(second.about(Topic.LOAD), [])
        self.assertEqual(second.merge(first.newer_than({})), [])

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.lists(st.tuples(st.integers(1, 3), st.integers(1, 4)), max_size=12))
    def test_order_of_arrival_does_not_matter(self, stamps):
        stepped = SteppedClock()
        facts = [Fact("load", "vm-1", *stamp, 0.0, list(stamp)) for stamp in stamps]
        shuffled = list(facts)
        random.Random(1).shuffle(shuffled)
        tables = [FactTable(stepped.clock), FactTable(stepped.clock)]
        tables[0].merge(facts)
        for fact in shuffled:
            tables[1].merge([fact])
        self.assertEqual(tables[0].vector, tables[1].vector)
        self.assertEqual(tables[0].digest, tables[1].digest)

    def test_a_repeated_statement_is_no_news(self):
        stepped = SteppedClock()
        table = FactTable(stepped.clock)
        self.assertIsNotNone(table.state(Topic.SUSPECTS, "vm-1", 1, {"vm-2": 1}))
        self.assertIsNone(table.state(Topic.SUSPECTS, "vm-1", 1, {"vm-2": 1}))
        self.assertIsNotNone(table.state(Topic.SUSPECTS, "vm-1", 1, None))
