"""Model of a router whose requests wait in a queue or poll."""

from collections import deque

import attrs

from lentilhaven.bench.policy.router_model import RouterModel
from lentilhaven.bench.queue_loads.caller import Caller
from lentilhaven.core.ids import RequestId
from lentilhaven.limits.admission_request import AdmissionRequest
from lentilhaven.limits.priority_brown_out import PriorityBrownOut
from lentilhaven.limits.queue_decision import Refuse, Start, decide_arrival
from lentilhaven.limits.retry_time import retry_after
from lentilhaven.limits.waiting_queue import QueueEntry, WaitingQueue
from lentilhaven.pipelines.path_loads import PathRequest

#: Maximum seconds between two polls of a request; the time is drawn evenly.
MAX_POLL_PERIOD = 0.1

#: Seconds over which the rate of arrivals is measured.
RATE_WINDOW = 1.0


@attrs.define(eq=False)
class LoadRouter(RouterModel):
    """
    State of one router of the experiment.

    Attributes
    ----------
    polls : bool
        Whether requests poll for room in random order in place of the queue.
    queue : WaitingQueue
        Requests that wait.
    brown_out : PriorityBrownOut
        Degradation steps.
    callers : dict
        `Caller` by request, of all requests.
    arrivals : deque
        Time, priority and tokens of the arrivals of the last `RATE_WINDOW`.
    """

    polls: bool = False
    queue: WaitingQueue = attrs.field(factory=WaitingQueue)
    brown_out: PriorityBrownOut = attrs.field(factory=PriorityBrownOut)
    callers: dict[RequestId, Caller] = attrs.field(factory=dict)
    arrivals: deque[tuple[float, int, float]] = attrs.field(factory=deque)

    @property
    def has_room(self) -> bool:
        """Return whether another stream may run."""
        return len(self.gate.state.running) < self.gate.state.limit.limit

    def call(self, caller: Caller) -> None:
        """Handle an attempt of a caller."""
        self.callers[caller.record.request] = caller
        caller.record.arrived = self.now
        if self.polls:
            self.poll(caller)
        else:
            self.offer(caller)

    def poll(self, caller: Caller) -> None:
        """Start a request if there is room; otherwise try again later."""
        if self.now >= caller.leaves or (self.has_room and self.try_start(caller)):
            return
        delay = self.rng.uniform(0.0, MAX_POLL_PERIOD)
        self.cluster.events.schedule_after(delay, lambda: self.poll(caller))

    def offer(self, caller: Caller) -> None:
        """Start, queue or refuse a request; a refused caller returns."""
        entry = self.make_entry(caller)
        state = self.gate.state
        decision = decide_arrival(
            self.queue,
            entry,
            has_room=self.has_room,
            rate=state.drain.rate(state.limit.limit),
            now=self.now,
            deadline=caller.leaves,
            brown_out=self.brown_out,
            urgent_rate=self.urgent_rate(entry),
        )
        too_long = isinstance(decision, Refuse) and decision.cause == "wait-too-long"
        self.brown_out.observe(caller.priority, too_long, self.now)
        if isinstance(decision, Refuse):
            self.refuse(caller, decision)
        elif not (isinstance(decision, Start) and self.start_entry(entry)):
            self.queue.add(entry, self.now)
            self.dispatch()

    def make_entry(self, caller: Caller) -> QueueEntry:
        """Return the queue entry of an attempt."""
        record = caller.record
        return QueueEntry(
            record.request,
            caller.priority,
            record.workspace,
            float(record.prompt + record.length),
            self.now,
            self.gate.start_by(self.now + caller.target),
        )

    def urgent_rate(self, entry: QueueEntry) -> float:
        """Return the tokens per second of more urgent arrivals, and count this one."""
        while self.arrivals and self.arrivals[0][0] < self.now - RATE_WINDOW:
            self.arrivals.popleft()
        self.arrivals.append((self.now, entry.priority, entry.cost))
        urgent = (cost for _, it, cost in self.arrivals if it < entry.priority)
        return sum(urgent) / RATE_WINDOW

    def refuse(self, caller: Caller, decision: Refuse) -> None:
        """Let a caller return after the time of the refusal."""
        caller.record.refused = self.now
        time_left = caller.leaves - self.now
        wait = retry_after(decision.wait, caller.priority, time_left, self.rng)
        if time_left - wait >= caller.target:
            self.cluster.events.schedule_after(wait, lambda: self.call(caller))

    def dispatch(self) -> None:
        """Start waiting requests in order while there is room."""
        while self.has_room and (entry := self.queue.head(self.now)) is not None:
            if self.callers[RequestId(entry.request)].leaves > self.now:
                if not self.start_entry(entry):
                    return
            self.queue.remove(entry)

    def start_entry(self, entry: QueueEntry) -> bool:
        """Start the request of an entry, and charge its workspace."""
        started = self.try_start(self.callers[RequestId(entry.request)])
        if started:
            self.queue.record_start(entry)
        return started

    def try_start(self, caller: Caller) -> bool:
        """Start a request if there is a path for it."""
        record = caller.record
        tokens = record.prompt + record.length
        path_request = PathRequest(tokens, record.prefix)
        plan = self.plan()
        path = self.chooser.choose(plan, path_request, self.rng)
        if path is None:
            return False
        self.chooser.count_demand(plan, self.now)
        ticket = AdmissionRequest(
            record.request, record.workspace, 1.0, "normal", tokens, self.now, self.now
        )
        self.gate.state.start(ticket, self.now)
        self.records[record.request] = record
        self.start(record, path_request, path)
        return True
