"""One service with a number of slots that serves a waiting queue in virtual time."""

import random

from lentilhaven.limits.priority_brown_out import PriorityBrownOut
from lentilhaven.limits.queue_decision import Refuse, Start, decide_arrival
from lentilhaven.limits.retry_time import retry_after
from lentilhaven.limits.waiting_queue import QueueEntry, WaitingQueue
from lentilhaven.standins.service_model import EventQueue

COST = 100.0


class QueueTrial:
    def __init__(self, slots, hold=0.1, seed=1, rate_factor=1.0):
        self.rate_factor = rate_factor
        self.slots, self.hold, self.rng = slots, hold, random.Random(seed)
        self.events, self.queue = EventQueue(), WaitingQueue()
        self.brown_out = PriorityBrownOut()
        self.running, self.deadlines = 0, {}
        #: (entry, time), per decision and start.
        self.offered, self.refused, self.started = [], [], []

    def send(self, rate, begin, end, priority=0, workspace="w", target=0.5, left=6.0):
        """Schedule a Poisson process of callers who leave after `left` seconds."""
        time = begin
        while (time := time + self.rng.expovariate(rate)) < end:
            name = f"{priority}.{workspace}.{time}"
            self.send_one(name, time, priority, workspace, target, left)

    def send_one(self, name, time, priority=0, workspace="w", target=0.5, left=6.0):
        def arrive():
            self.arrive(name, priority, workspace, target, time + left)

        self.events.schedule_at(time, arrive)

    def arrive(self, name, priority, workspace, target, deadline):
        now = self.events.now
        entry = QueueEntry(name, priority, workspace, COST, now, now + target)
        urgent = [it for it, at in self.offered[-200:] if at > now - 1.0]
        urgent_rate = COST * sum(it.priority < priority for it in urgent)
        decision = decide_arrival(
            self.queue,
            entry,
            has_room=self.running < self.slots,
            rate=self.rate_factor * self.slots * COST / self.hold,
            now=now,
            deadline=deadline,
            brown_out=self.brown_out,
            urgent_rate=urgent_rate,
        )
        self.offered.append((entry, now))
        too_long = isinstance(decision, Refuse) and decision.cause == "wait-too-long"
        self.brown_out.observe(priority, too_long, now)
        if isinstance(decision, Refuse):
            self.refused.append((entry, now))
            wait = retry_after(decision.wait, priority, deadline - now, self.rng)
            if wait < (deadline - now) / 3 + 1e-9 and deadline - now > 0.5:
                again = (name, priority, workspace, target, deadline)
                self.events.schedule_after(wait, lambda: self.arrive(*again))
            return
        self.deadlines[entry] = deadline
        if isinstance(decision, Start):
            self.start(entry)
        else:
            self.queue.add(entry)
            self.serve()

    def serve(self):
        while self.running < self.slots:
            entry = self.queue.head(self.events.now)
            if entry is None:
                return
            self.queue.remove(entry)
            if self.deadlines[entry] > self.events.now:
                self.start(entry)

    def start(self, entry):
        self.running += 1
        self.queue.record_start(entry)
        self.started.append((entry, self.events.now))
        self.events.schedule_after(self.hold, self.finish)

    def finish(self):
        self.running -= 1
        self.serve()

    def requests(self, log, begin=0.0, end=1e9, **wanted):
        """Return the distinct requests of a log in a time window."""
        return {
            entry.request
            for entry, time in log
            if begin <= time < end
            and all(getattr(entry, key) == it for key, it in wanted.items())
        }

    def in_time(self):
        return [(it, time) for it, time in self.started if time <= it.due + 1e-9]

    def served_share(self, begin=0.0, end=1e9, **wanted):
        """Return the share of requests that came in a window and started in time."""
        offered = self.requests(self.offered, begin, end, **wanted)
        return len(offered & self.requests(self.in_time())) / max(1, len(offered))
