"""An engine that takes time and does nothing else."""

from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.core.invariants import ensure
from lentilhaven.pipelines.range_group import Member
from lentilhaven.standins.service_model.event_queue import EventQueue
from lentilhaven.standins.service_model.model_stream import ModelStream
from lentilhaven.standins.service_model.work_item import WorkItem
from lentilhaven.tables.accelerator import Accelerator

#: Most tokens of prompts in one step.
PREFILL_CHUNK = 128

#: Prefixes that an engine's cache holds.
CACHED_PREFIXES = 24


@attrs.define(eq=False)
class EngineModel:
    """
    One engine.

    Attributes
    ----------
    member : Member
        Its endpoint and layers.
    accelerator : Accelerator
        Its rates.
    events : EventQueue
        Virtual time.
    forward : callable
        Takes the items that a step has finished.
    decoding, prefilling : deque of WorkItem
        Work in queue.
    held : dict
        KV memory by request.
    kv_used : float
        Their sum.
    blocked : deque of WorkItem
        Work that waits for KV memory.
    prefixes : OrderedDict
        Cached prefixes, least recently used first.
    alive, stepping : bool
        Whether it runs, and whether a step is under way.
    """

    member: Member
    accelerator: Accelerator
    events: EventQueue
    forward: Callable[["EngineModel", list[WorkItem]], None]
    decoding: deque[WorkItem] = attrs.field(factory=deque)
    prefilling: deque[WorkItem] = attrs.field(factory=deque)
    held: dict[RequestId, float] = attrs.field(factory=dict)
    kv_used: float = 0.0
    blocked: deque[WorkItem] = attrs.field(factory=deque)
    prefixes: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    alive: bool = True
    stepping: bool = False

    @property
    def id(self) -> EndpointId:
        """Return the endpoint's id."""
        return self.member.endpoint

    @property
    def load(self) -> int:
        """Return the number of streams that it holds or that wait for it."""
        return len(self.held) + len(self.blocked)

    def submit(self, item: WorkItem) -> None:
        """Take in work; a new stream first needs KV memory."""
        if item.stream.request not in self.held and not self.admit(item.stream):
            self.blocked.append(item)
            return
        if item.tokens == 1:
            self.decoding.append(item)
        else:
            self.use_prefix(item)
            self.prefilling.append(item)
        if not self.stepping:
            self.step()

    def admit(self, stream: ModelStream) -> bool:
        """Reserve KV memory for a stream if there is enough."""
        need = stream.kv_need(self.member)
        if self.kv_used + need > self.accelerator.kv_capacity:
            return False
        self.held[stream.request] = need
        self.kv_used += need
        ensure(self.kv_used <= self.accelerator.kv_capacity, "kv-memory", self.id)
        return True

    def use_prefix(self, item: WorkItem) -> None:
        """Skip the prompt's first half if it is cached; cache it otherwise."""
        stream = item.stream
        if not stream.prefix:
            return
        if stream.prefix in self.prefixes:
            self.prefixes.move_to_end(stream.prefix)
            item.tokens = max(1, item.tokens - stream.prompt // 2)
            stream.cached += 1
            return
        self.prefixes[stream.prefix] = None
        if len(self.prefixes) > CACHED_PREFIXES:
            self.prefixes.popitem(last=False)

    def release(self, request: RequestId) -> None:
        """Free a stream's KV memory and let blocked streams in."""
        self.kv_used -= self.held.pop(request, 0.0)
        waiting, self.blocked = self.blocked, deque()
        for item in waiting:
            if not item.stale and item.stream.request != request:
                self.submit(item)

    def step(self) -> None:
        """Begin a step with what is in queue."""
        batch, prompt_tokens, decoded = self.take_batch()
        if not batch and not prompt_tokens:
            return
        self.stepping = True
        kind, size = self.accelerator, self.member.layers.size
        duration = (
            kind.step_overhead
            + decoded * size / kind.decode_rate
            + prompt_tokens * size / kind.prefill_rate
        )
        self.events.after(duration, lambda: self.end_step(batch))

    def take_batch(self) -> tuple[list[WorkItem], int, int]:
        """Return finished items of the next step, prompt and decoded tokens."""
        batch: list[WorkItem] = []
        while self.decoding and len(batch) < self.accelerator.batch_size:
            item = self.decoding.popleft()
            if not item.stale:
                batch.append(item)
        decoded = len(batch)
        budget = PREFILL_CHUNK
        while self.prefilling and budget:
            item = self.prefilling[0]
            part = 0 if item.stale else min(budget, item.tokens)
            item.tokens -= part
            budget -= part
            if item.stale or item.tokens == 0:
                self.prefilling.popleft()
                if not item.stale:
                    batch.append(item)
        return batch, PREFILL_CHUNK - budget, decoded

    def end_step(self, batch: list[WorkItem]) -> None:
        """Hand on what a step has finished and begin the next."""
        self.stepping = False
        if not self.alive:
            return
        self.forward(self, [item for item in batch if not item.stale])
        if not self.stepping:
            self.step()

    def die(self) -> list[WorkItem]:
        """Lose everything and return the work that was in queue."""
        lost = [*self.decoding, *self.prefilling, *self.blocked]
        self.alive = False
        for queue in (self.decoding, self.prefilling, self.blocked):
            queue.clear()
        self.held.clear()
        self.prefixes.clear()
        self.kv_used = 0.0
        return lost
