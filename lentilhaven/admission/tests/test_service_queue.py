import asyncio
import time
import unittest

import attrs

from lentilhaven.admission import Refusal, ServiceQueue
from lentilhaven.limits.waiting_queue import QueueEntry, WaitingQueue
from lentilhaven.standins.virtual import run_virtual


@attrs.define
class Room:
    """Capacity for a number of requests, and the names of those that have begun."""

    free: int = 0
    begun: list = attrs.field(factory=list)
    trials: int = 0

    def find(self):
        """Return whether there is room; nothing is taken before the task resumes."""
        self.trials += 1
        return True if self.free > 0 else None


def make_entry(name, priority=0, workspace="w", **other):
    loop = asyncio.get_running_loop()
    fields = {"cost": 100.0, "arrived": loop.time(), "due": loop.time() + 1.0}
    return QueueEntry(name, priority, workspace, **fields | other)


async def ask(queue, room, entry, wait=10.0, **options):
    """Wait for room, and take it as soon as the wait has ended."""
    until = asyncio.get_running_loop().time() + wait
    found = await queue.wait(entry, room.find, until=until, **options)
    if not isinstance(found, Refusal):
        room.free -= 1
        room.begun.append(entry.request)
    return found


async def fill(queue, room, *entries, **options):
    """Return the tasks of requests that wait in the order in which they are given."""
    tasks = []
    for entry in entries:
        tasks.append(asyncio.ensure_future(ask(queue, room, entry, **options)))
        await asyncio.sleep(0.001)
    return tasks


def run(scenario, queue=None, free=0):
    async def main():
        return await scenario(queue or ServiceQueue("gen"), Room(free))

    return run_virtual(main())


class OrderTests(unittest.TestCase):
    """Guard against starts out of order, or more of them than there is room for."""

    def test_freed_room_goes_to_the_most_urgent_and_to_no_more_than_fit(self):
        async def scenario(queue, room):
            tasks = await fill(
                queue,
                room,
                make_entry("late", 2),
                make_entry("new", 1),
                make_entry("broken", 1, continues=True),
                make_entry("first", 0),
            )
            room.free = 2
            queue.notify_room()
            await asyncio.sleep(0.1)
            waiting = len(queue.waiters)
            room.free = 2
            queue.notify_room()
            await asyncio.gather(*tasks)
            return room.begun, waiting, room.free

        begun, waiting, free = run(scenario)
        self.assertEqual(begun, ["first", "broken", "new", "late"])
        self.assertEqual((waiting, free), (2, 0))

    def test_an_arrival_does_not_take_the_room_of_one_that_was_just_woken(self):
        async def scenario(queue, room):
            tasks = await fill(queue, room, make_entry("a"))
            room.free = 1
            queue.start_next()
            tasks += await fill(queue, room, make_entry("b", priority=0))
            free = room.free
            room.free = 1
            queue.notify_room()
            await asyncio.gather(*tasks)
            return room.begun, free

        self.assertEqual(run(scenario), (["a", "b"], 0))

    def test_another_scope_is_tried_behind_a_head_that_can_not_start(self):
        async def scenario(queue, room):
            narrow = Room()
            head = await fill(queue, narrow, make_entry("head"), scope="narrow")
            room.free = 1
            found = await ask(queue, room, make_entry("wide", 1), scope="wide")
            head[0].cancel()
            await asyncio.wait(head)
            return found, len(queue.waiters), dict(queue.scopes)

        self.assertEqual(run(scenario), (True, 0, {}))


class WakingTests(unittest.TestCase):
    """Guard against polling, and against requests that nobody wakes."""

    def test_nothing_is_tried_without_a_notification(self):
        async def scenario(queue, room):
            found = await ask(queue, room, make_entry("a"), wait=5.0)
            return found.cause, room.trials, len(queue.waiters)

        self.assertEqual(run(scenario), ("not-started", 1, 0))

    def test_many_notifications_lead_to_few_trials(self):
        async def scenario(queue, room):
            tasks = await fill(queue, room, *map(make_entry, "abcd"))
            before = room.trials
            for _ in range(200):
                queue.notify_room()
                await asyncio.sleep(0.005)
            for task in tasks:
                task.cancel()
            return room.trials - before

        self.assertLessEqual(run(scenario), 60)

    def test_a_timer_wakes_at_the_next_change(self):
        queue = ServiceQueue("gen", next_change=lambda now: 3.0 if now < 3.0 else None)

        async def scenario(queue, room):
            tasks = await fill(queue, room, make_entry("a"))
            room.free = 1
            await tasks[0]
            return asyncio.get_running_loop().time()

        self.assertEqual(run(scenario, queue), 3.0)

    def test_a_caller_that_leaves_passes_its_turn_on(self):
        async def scenario(queue, room):
            tasks = await fill(queue, room, make_entry("a"), make_entry("b"))
            room.free = 1
            queue.start_next()
            tasks[0].cancel()
            found = await tasks[1]
            return found, room.begun, len(queue.waiters)

        self.assertEqual(run(scenario), (True, ["b"], 0))

    def test_a_defect_in_one_request_does_not_stop_the_others(self):
        async def scenario(queue, room):
            @attrs.define
            class Broken(Room):
                def find(self):
                    return 1 // 0 if room.free else None

            broken = Broken()
            tasks = await fill(queue, broken, make_entry("a"))
            tasks += await fill(queue, room, make_entry("b"))
            room.free = 1
            queue.notify_room()
            found = await asyncio.gather(*tasks, return_exceptions=True)
            return type(found[0]), found[1]

        self.assertEqual(run(scenario), (ZeroDivisionError, True))


class RefusalTests(unittest.TestCase):
    """Guard against requests that wait although they can't be served in time."""

    def test_a_start_after_the_allowed_wait_is_refused_at_once(self):
        async def scenario(queue, room):
            loop = asyncio.get_running_loop()
            # Started work of 100 tokens a second, by the rate's time constant of 2 s.
            queue.rates.record("w", 0, 200.0, loop.time())
            options = {"deadline": loop.time() + 4.0}
            entries = [make_entry(it, due=loop.time() + 3.0) for it in "abcd"]
            tasks = await fill(queue, room, *entries, **options)
            ended = [task.result() for task in tasks if task.done()]
            for task in tasks:
                task.cancel()
            return [it.cause for it in ended], dict(queue.counters)

        causes, counters = run(scenario)
        self.assertEqual(causes, ["wait-too-long"] * 2)
        self.assertEqual(counters, {"waits": 2, "refused: wait-too-long": 2})

    def test_a_full_queue_gives_up_the_least_urgent(self):
        queue = ServiceQueue("gen", queue=WaitingQueue(max_entries=2))

        async def scenario(queue, room):
            entries = [make_entry("a", 1), make_entry("b", 2), make_entry("c", 0)]
            tasks = await fill(queue, room, *entries)
            found = tasks[1].result()
            for task in tasks:
                task.cancel()
            return found.cause, len(queue.waiters)

        self.assertEqual(run(scenario, queue), ("queue-full", 2))

    def test_after_a_freeze_one_past_its_time_is_refused_not_started(self):
        async def scenario():
            queue, room = ServiceQueue("gen"), Room()
            tasks = await fill(queue, room, make_entry("a"), wait=0.05)
            tasks += await fill(queue, room, make_entry("b"))
            room.free = 1
            asyncio.get_running_loop().call_soon(time.sleep, 0.1)
            asyncio.get_running_loop().call_soon(queue.notify_room)
            found = await asyncio.gather(*tasks)
            return getattr(found[0], "cause", ""), found[1], room.begun

        self.assertEqual(asyncio.run(scenario()), ("not-started", True, ["b"]))
