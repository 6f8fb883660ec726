"""The requests of one service that wait at a process."""

import asyncio
from collections import Counter
from collections.abc import Callable, Hashable, Sequence
from typing import Any, TypeVar, cast

import attrs

from lentilhaven.admission.refusal import Refusal
from lentilhaven.core.logs import get_logger
from lentilhaven.limits.priority_brown_out import PriorityBrownOut
from lentilhaven.limits.queue_decision import Refuse, Wait, decide_arrival
from lentilhaven.limits.shared_room import charges_from_peers, shared_start_rate
from lentilhaven.limits.start_rates import StartRates
from lentilhaven.limits.waiting_queue import QueueEntry, WaitingQueue
from lentilhaven.peering.queue_state import QueueReport

#: Number of requests that may fail to start in one pass over the queue: the search for
#: a chain among 99 engines takes 1 to 4 ms.
MAX_TRIALS = 3

#: Seconds between two passes in which nothing has started.  A gateway among 88 gets 200
#: datagrams a second, each of which may report capacity.
PASS_INTERVAL = 0.02

#: A pass that has taken some time is repeated after this many times as long, so that
#: passes in vain take at most a tenth of the processor's time.
PASS_TIME_FACTOR = 10.0

#: Result of a wait that has ended.
NOT_STARTED = Refusal("not-started")

T = TypeVar("T")

log = get_logger("admission")


@attrs.define(eq=False)
class Waiter:
    """
    A request in a queue.

    Attributes
    ----------
    entry : QueueEntry
        Its place in the queue.
    try_start : callable
        As in `ServiceQueue.wait`.
    scope : hashable
        As in `ServiceQueue.wait`.
    done : asyncio.Future
        What `try_start` has returned, or a `Refusal`.
    timeout : asyncio.Timeout
        Ends its wait.
    began : float
        Time at which it began to wait, in seconds.
    renew : callable or None
        As in `ServiceQueue.wait`.
    is_starting : bool
        Whether it may start but its task has not resumed yet.
    """

    entry: QueueEntry
    try_start: Callable[[], Any]
    scope: Hashable
    done: asyncio.Future[Any]
    timeout: asyncio.Timeout
    began: float
    renew: Callable[[], tuple[QueueEntry, float]] | None = None
    is_starting: bool = False

    def is_over(self, now: float) -> bool:
        """Return whether the wait has ended, although its task has not resumed."""
        until = self.timeout.when()
        return self.done.done() or (until is not None and now >= until)


@attrs.define(eq=False)
class ServiceQueue:
    """
    Starts the requests of one service in the order of its queue.

    Attributes
    ----------
    service : str
        Name of the service.
    counters : Counter
        Counts the requests that wait and those that are refused, by cause.
    next_change : callable
        Takes a time and returns the next time at which capacity may appear without a
        notification, such as the end of a suspicion, or None.
    ages : callable
        Takes a time and returns the ages of what decisions rest on, in ms by name, for
        the log.
    record_wait : callable
        Takes the priority of a request that starts after a wait, and its seconds.
    reports : callable
        Takes a time and returns what other processes report of their queues.
    queue : WaitingQueue
        The order of the waiting requests.
    brown_out : PriorityBrownOut
        Degradation steps of the service.
    rates : StartRates
        What has lately been started.
    charged_at : float
        Time up to which the service of other processes is charged, in seconds.
    waiters : dict
        `Waiter` by entry.
    scopes : Counter
        Number of waiters by scope.
    resumed : asyncio.Event
        Set unless a request may start but its task has not resumed yet.
    handle : asyncio.Handle or None
        The next pass over the queue.
    idle_until : float
        Time before which no pass is made, since the latest one was in vain.
    """

    service: str
    counters: Counter[str] = attrs.field(factory=Counter)
    next_change: Callable[[float], float | None] = lambda now: None
    ages: Callable[[float], dict[str, int]] = lambda now: {}
    record_wait: Callable[[int, float], None] = lambda priority, seconds: None
    reports: Callable[[float], Sequence[QueueReport]] = lambda now: ()
    queue: WaitingQueue = attrs.field(factory=WaitingQueue)
    brown_out: PriorityBrownOut = attrs.field(factory=PriorityBrownOut)
    rates: StartRates = attrs.field(factory=StartRates)
    charged_at: float = 0.0
    waiters: dict[QueueEntry, Waiter] = attrs.field(factory=dict)
    scopes: Counter[Hashable] = attrs.field(factory=Counter)
    resumed: asyncio.Event = attrs.field(factory=asyncio.Event)
    handle: asyncio.Handle | None = None
    idle_until: float = 0.0

    def __attrs_post_init__(self) -> None:
        """Let requests be tried: none is starting."""
        self.resumed.set()

    async def wait(
        self,
        entry: QueueEntry,
        try_start: Callable[[], T | Refusal | None],
        *,
        until: float,
        deadline: float | None = None,
        scope: Hashable = (),
        renew: Callable[[], tuple[QueueEntry, float]] | None = None,
        starts_anyway: bool = False,
    ) -> T | Refusal:
        """
        Return what a request needs to start, at once or when its turn has come.

        The caller must take up what is returned before it awaits anything: the next
        request is tried right after that.

        Parameters
        ----------
        entry : QueueEntry
            The request.
        try_start : callable
            Returns what the request needs; None if it is not there now, or a `Refusal`
            if a wait is in vain.
        until : float
            Event loop time at which the wait ends, in seconds.
        deadline : float or None
            Event loop time at which the caller leaves, in seconds.  The request is
            refused at once if it would start too late.  None if it waits in any case.
        scope : hashable
            Requests of the same scope can start on the same endpoints, so that a later
            one is not tried when an earlier one has failed.
        renew : callable or None
            Returns the entry and `until` anew after a change of the manifest.
        starts_anyway : bool
            Whether the caller lets the request start when `until` has come, so that the
            end of the wait is no refusal.
        """
        # What the woken requests take up must be known to `try_start`.
        await self.resumed.wait()
        now = asyncio.get_running_loop().time()
        if not self.scopes[scope] or self.queue.goes_first(entry, now):
            started = try_start()
            if isinstance(started, Refusal):
                return self.refuse(entry, started.cause, started.wait, now)
            if started is not None:
                self.record_start(entry, now)
                return started
        began, predicted = now, until - now
        if deadline is not None:
            decision = self.decide(entry, now, deadline)
            if isinstance(decision, Refusal):
                return decision
            predicted = min(predicted, decision)
        self.log("request waits", entry, now, predicted_ms=round(predicted * 1000))
        self.counters["waits"] += 1
        found = await self.wait_in_queue(entry, try_start, until, scope, renew)
        if found is NOT_STARTED:
            now = asyncio.get_running_loop().time()
            if starts_anyway:
                self.note_start_after_wait(entry, now - began, now)
            else:
                return self.refuse(entry, NOT_STARTED.cause, 0.0, now)
        return cast(T | Refusal, found)

    def record_start(self, entry: QueueEntry, now: float) -> None:
        """Count a request that starts."""
        self.queue.record_start(entry)
        self.rates.record(entry.workspace, entry.priority, entry.cost, now)
        self.brown_out.observe(entry.priority, False, now)

    def decide(self, entry: QueueEntry, now: float, deadline: float) -> Refusal | float:
        """Return the predicted wait of a request that can't start now, or a refusal."""
        ahead = self.queue.cost_ahead(entry, now)
        # One that nothing goes before is not refused because of a prediction: the
        # capacity of other processes may become free for it too.
        rate = None
        if ahead > 0.0:
            own_rate = sum(self.rates.by_priority(now).values())
            rate = shared_start_rate(
                self.reports(now), own_rate, ahead, entry.cost, entry.priority
            )
        decision = decide_arrival(
            self.queue,
            entry,
            has_room=False,
            rate=rate,
            now=now,
            deadline=deadline,
            brown_out=self.brown_out,
        )
        # A refusal by brown-out must not prolong the brown-out.
        is_late = isinstance(decision, Refuse) and decision.cause == "wait-too-long"
        self.brown_out.observe(entry.priority, is_late, now)
        if not isinstance(decision, Refuse):
            return decision.predicted if isinstance(decision, Wait) else 0.0
        return self.refuse(entry, decision.cause, decision.wait, now)

    def refuse(self, entry: QueueEntry, cause: str, wait: float, now: float) -> Refusal:
        """Return a refusal, and log and count it."""
        self.counters[f"refused: {cause}"] += 1
        self.log(
            "request refused", entry, now, cause=cause, predicted_ms=round(wait * 1000)
        )
        return Refusal(cause, wait)

    def log(self, event: str, entry: QueueEntry, now: float, **fields: Any) -> None:
        """Log a decision with its grounds."""
        log.info(
            event,
            request=entry.request,
            service=self.service,
            priority=entry.priority,
            workspace=entry.workspace,
            continues=entry.continues,
            waiting=len(self.waiters),
            waited_ms=round((now - entry.arrived) * 1000),
            ahead=round(self.queue.cost_ahead(entry, now)),
            **self.ages(now),
            **fields,
        )

    async def wait_in_queue(
        self,
        entry: QueueEntry,
        try_start: Callable[[], Any],
        until: float,
        scope: Hashable,
        renew: Callable[[], tuple[QueueEntry, float]] | None,
    ) -> Any:
        """Wait for a request's turn; leave the queue in any case."""
        loop = asyncio.get_running_loop()
        timeout = asyncio.timeout_at(until)
        done, began = loop.create_future(), loop.time()
        waiter = Waiter(entry, try_start, scope, done, timeout, began, renew)
        self.add(waiter)
        try:
            async with timeout:
                self.set_timer(loop.time())
                return await waiter.done
        except TimeoutError:
            if not timeout.expired():
                raise
            return NOT_STARTED
        finally:
            if waiter.is_starting:
                self.resumed.set()
            elif waiter.entry in self.waiters:
                self.remove(waiter.entry)

    def add(self, waiter: Waiter) -> None:
        """Insert a waiter; if the queue is full, one is refused."""
        self.waiters[waiter.entry] = waiter
        self.scopes[waiter.scope] += 1
        now = asyncio.get_running_loop().time()
        given_up = self.queue.add(waiter.entry, now)
        if given_up is not None:
            loser = self.forget(given_up)
            loser.done.set_result(self.refuse(given_up, "queue-full", 0.0, now))

    def remove(self, entry: QueueEntry) -> Waiter:
        """Remove a request that starts, is refused or whose caller has left."""
        self.queue.remove(entry)
        return self.forget(entry)

    def forget(self, entry: QueueEntry) -> Waiter:
        """Remove the waiter of an entry that is no longer in the queue."""
        waiter = self.waiters.pop(entry)
        self.scopes[waiter.scope] -= 1
        if not self.scopes[waiter.scope]:
            del self.scopes[waiter.scope]
        if not self.waiters and self.handle is not None:
            self.handle.cancel()
            self.handle = None
        return waiter

    def charge_peers(self, reports: Sequence[QueueReport], now: float) -> None:
        """Charge the workspaces for what other processes have given them lately."""
        elapsed, self.charged_at = now - self.charged_at, now
        waiting = self.queue.waiting_cost()
        for it in charges_from_peers(reports, elapsed, waiting):
            self.queue.charge(it.workspace, it.priority, it.cost)

    def renew(self) -> None:
        """Order the waiting requests by what the manifest says now."""
        for waiter in list(self.waiters.values()):
            if waiter.renew is None:
                continue
            entry, until = waiter.renew()
            self.remove(waiter.entry)
            waiter.entry = entry
            self.add(waiter)
            if not waiter.timeout.expired():
                waiter.timeout.reschedule(until)
        self.notify_room()

    def notify_room(self) -> None:
        """Try the waiting requests soon, since capacity may have appeared."""
        if not self.waiters:
            return
        now = asyncio.get_running_loop().time()
        self.plan_pass(max(now, self.idle_until))

    def plan_pass(self, at: float) -> None:
        """Make a pass over the queue at a time, unless an earlier one is planned."""
        loop = asyncio.get_running_loop()
        if isinstance(self.handle, asyncio.TimerHandle) and self.handle.when() > at:
            self.handle.cancel()
            self.handle = None
        if self.handle is not None:
            return
        if at <= loop.time():
            self.handle = loop.call_soon(self.start_next)
        else:
            self.handle = loop.call_at(at, self.start_next)

    def set_timer(self, now: float) -> None:
        """Plan a pass at the time at which capacity may appear by itself."""
        at = self.next_change(now)
        if self.waiters and at is not None:
            self.plan_pass(max(at, self.idle_until))

    def start_next(self) -> None:
        """
        Let the first request that can start do so.

        Only one starts in each pass: what it takes is known once its task has resumed.
        """
        loop = asyncio.get_running_loop()
        self.handle = None
        began = loop.time()
        if not self.resumed.is_set():
            self.plan_pass(began)
            return
        if self.try_in_order(began):
            # The task of the started request is scheduled before this.
            self.idle_until = 0.0
            self.notify_room()
            return
        ended = loop.time()
        pause = max(PASS_INTERVAL, PASS_TIME_FACTOR * (ended - began))
        self.idle_until = ended + pause
        self.set_timer(ended)

    def try_in_order(self, now: float) -> bool:
        """Try the requests in order; return whether one has left the queue."""
        failed: set[Hashable] = set()
        for entry in self.queue.in_order(now):
            waiter = self.waiters[entry]
            if waiter.scope in failed or waiter.is_over(now):
                continue
            if self.try_waiter(waiter, now):
                return True
            failed.add(waiter.scope)
            if len(failed) >= min(MAX_TRIALS, len(self.scopes)):
                break
        return False

    def try_waiter(self, waiter: Waiter, now: float) -> bool:
        """Try to start a request; return whether it has left the queue."""
        entry = waiter.entry
        try:
            started = waiter.try_start()
        except Exception as error:
            self.remove(entry)
            waiter.done.set_exception(error)
            return True
        if started is None:
            return False
        self.remove(entry)
        if isinstance(started, Refusal):
            started = self.refuse(entry, started.cause, started.wait, now)
        else:
            waiter.is_starting = True
            self.resumed.clear()
            self.note_start_after_wait(entry, now - waiter.began, now)
        waiter.done.set_result(started)
        return True

    def note_start_after_wait(
        self, entry: QueueEntry, seconds: float, now: float
    ) -> None:
        """Record that a request starts after some seconds in the queue."""
        self.record_start(entry, now)
        self.record_wait(entry.priority, seconds)
        self.log("request starts after a wait", entry, now)
