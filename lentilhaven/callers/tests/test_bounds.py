import asyncio
import unittest

import attrs
from hypothesis import given, settings, strategies as st

from lentilhaven.callers.connection_memory import ConnectionMemory
from lentilhaven.callers.open_connections import OpenConnections
from lentilhaven.callers.read_turns import BURST, ReadTurns
from lentilhaven.standins.virtual import run_virtual


@attrs.define(eq=False)
class Connection:
    """Stands in for a connection."""

    held: int = 0
    debt: float = 0.0
    charged_at: float = 0.0
    is_used: bool = False
    drops: int = 0
    is_held_back: bool = False

    def drop(self, cause):
        self.drops += 1

    def may_be_dropped(self):
        return not self.is_used

    def hold_back(self):
        self.is_held_back = True

    def release(self):
        self.is_held_back = False


class MemoryTests(unittest.TestCase):
    """Guards against connections that together hold more than their share."""

    @settings(derandomize=True)
    @given(st.lists(st.tuples(st.integers(0, 4), st.integers(0, 80)), max_size=40))
    def test_the_limit_holds_and_sums_agree(self, changes):
        memory, connections = ConnectionMemory(100), [Connection() for _ in range(5)]
        for index, size in changes:
            memory.resize(connections[index], size)
            self.assertLessEqual(memory.held, 100)
            self.assertEqual(memory.held, sum(it.held for it in connections))

    def test_the_largest_is_dropped_first(self):
        memory, connections = ConnectionMemory(100), [Connection() for _ in range(3)]
        for connection, size in zip(connections, (20, 60, 30), strict=True):
            memory.resize(connection, size)
        self.assertEqual([it.drops for it in connections], [0, 1, 0])


class OpenConnectionTests(unittest.TestCase):
    """Guards against silent connections that keep others out."""

    def test_the_longest_unused_is_closed_for_a_new_one(self):
        opened, connections = OpenConnections(2), [Connection() for _ in range(3)]
        admitted = [opened.admit(it) for it in connections[:2]]
        opened.note_use(connections[0])
        admitted.append(opened.admit(connections[2]))
        self.assertEqual(admitted, [True, True, True])
        self.assertEqual([it.drops for it in connections], [0, 1, 0])

    def test_connections_in_use_stay(self):
        opened = OpenConnections(1)
        self.assertTrue(opened.admit(Connection(is_used=True)))
        self.assertFalse(opened.admit(Connection()))


class TurnTests(unittest.TestCase):
    """Guards against one connection that takes all of the event loop's time."""

    def test_costly_connections_take_turns_and_others_do_not_wait(self):
        async def scenario():
            turns, costly, cheap = ReadTurns(), Connection(), Connection()
            turns.charge(costly, 2 * BURST, 0.0)
            turns.charge(cheap, BURST / 10, 0.0)
            before = (costly.is_held_back, cheap.is_held_back)
            await asyncio.sleep(1.0)
            return before, costly.is_held_back

        self.assertEqual(run_virtual(scenario()), ((True, False), False))
