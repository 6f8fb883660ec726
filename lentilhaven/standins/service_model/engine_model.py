"""Model of the service times of an engine, without computation."""

from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from lentilhaven.core.ids import EndpointId, RequestId
from lentilhaven.core.invariants import ensure
from lentilhaven.pipelines.range_group import GroupMember
from lentilhaven.standins.service_model.event_queue import EventQueue
from lentilhaven.standins.service_model.model_stream import ModelStream
from lentilhaven.standins.service_model.work_item import WorkItem
from lentilhaven.tables.accelerator import Accelerator

#: Maximum number of prompt tokens per step.
PREFILL_CHUNK = 128

#: Maximum number of prefixes in the cache of an engine.
PREFIX_CACHE_SIZE = 24


@attrs.define(eq=False)
class EngineModel:
    """
    Service-time model of one engine.

    Attributes
    ----------
    member : GroupMember
        Endpoint and layers of the engine.
    accelerator : Accelerator
        Rates and capacity of the engine.
    events : EventQueue
        Event queue of the virtual time.
    forward : callable
        Called with the engine and the items that a step has finished.
    decoding, prefilling : deque of WorkItem
        Queued work: items submitted with 1 token, and items submitted with more.
    reserved : dict
        Reserved KV memory by request id, in layers times tokens.
    kv_used : float
        Sum of the reserved KV memory, in layers times tokens.
    blocked : deque of WorkItem
        Work that waits for KV memory, oldest first.
    cached_prefixes : OrderedDict
        Names of the cached prefixes, least recently used first; values are unused.
    alive, stepping : bool
        Whether the engine has not failed, and whether a step is in progress.
    """

    member: GroupMember
    accelerator: Accelerator
    events: EventQueue
    forward: Callable[["EngineModel", list[WorkItem]], None]
    decoding: deque[WorkItem] = attrs.field(factory=deque)
    prefilling: deque[WorkItem] = attrs.field(factory=deque)
    reserved: dict[RequestId, float] = attrs.field(factory=dict)
    kv_used: float = 0.0
    blocked: deque[WorkItem] = attrs.field(factory=deque)
    cached_prefixes: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    alive: bool = True
    stepping: bool = False

    @property
    def id(self) -> EndpointId:
        """Return the endpoint id of the engine."""
        return self.member.endpoint

    @property
    def load(self) -> int:
        """Return the number of admitted and blocked streams."""
        return len(self.reserved) + len(self.blocked)

    def submit(self, item: WorkItem) -> None:
        """
        Queue work, and start a step if none is in progress.

        A new stream first needs a reservation of KV memory; without enough memory, its
        work goes to `blocked`.
        """
        if item.stream.request not in self.reserved and not self.admit(item.stream):
            self.blocked.append(item)
            return
        if item.tokens == 1:
            self.decoding.append(item)
        else:
            self.apply_prefix_cache(item)
            self.prefilling.append(item)
        if not self.stepping:
            self.step()

    def admit(self, stream: ModelStream) -> bool:
        """Reserve KV memory for a stream; return whether there was enough."""
        required = stream.kv_required(self.member)
        if self.kv_used + required > self.accelerator.kv_capacity:
            return False
        self.reserved[stream.request] = required
        self.kv_used += required
        ensure(self.kv_used <= self.accelerator.kv_capacity, "kv-memory", self.id)
        return True

    def apply_prefix_cache(self, item: WorkItem) -> None:
        """Skip the first half of the prompt if it is cached; otherwise cache it."""
        stream = item.stream
        if not stream.prefix:
            return
        if stream.prefix in self.cached_prefixes:
            self.cached_prefixes.move_to_end(stream.prefix)
            item.tokens = max(1, item.tokens - stream.prompt // 2)
            stream.cached += 1
            return
        self.cached_prefixes[stream.prefix] = None
        if len(self.cached_prefixes) > PREFIX_CACHE_SIZE:
            self.cached_prefixes.popitem(last=False)

    def release(self, request: RequestId) -> None:
        """Release the KV memory of a stream; submit blocked work of others again."""
        self.kv_used -= self.reserved.pop(request, 0.0)
        waiting, self.blocked = self.blocked, deque()
        for item in waiting:
            if not item.stale and item.stream.request != request:
                self.submit(item)

    def step(self) -> None:
        """Start a step with the queued work, if any."""
        batch, prompt_tokens, decoded = self.take_batch()
        if not batch and not prompt_tokens:
            return
        self.stepping = True
        accelerator, size = self.accelerator, self.member.layers.size
        duration = (
            accelerator.step_overhead
            + decoded * size / accelerator.decode_rate
            + prompt_tokens * size / accelerator.prefill_rate
        )
        self.events.schedule_after(duration, lambda: self.end_step(batch))

    def take_batch(self) -> tuple[list[WorkItem], int, int]:
        """
        Take the work of the next step from the queues.

        Returns
        -------
        tuple of (list of WorkItem, int, int)
            Items that the step finishes, number of prompt tokens that it runs, and
            number of tokens that it decodes.
        """
        batch: list[WorkItem] = []
        while self.decoding and len(batch) < self.accelerator.batch_size:
            item = self.decoding.popleft()
            if not item.stale:
                batch.append(item)
        decoded = len(batch)
        budget = PREFILL_CHUNK
        while self.prefilling and budget:
            item = self.prefilling[0]
            chunk = 0 if item.stale else min(budget, item.tokens)
            item.tokens -= chunk
            budget -= chunk
            if item.stale or item.tokens == 0:
                self.prefilling.popleft()
                if not item.stale:
                    batch.append(item)
        return batch, PREFILL_CHUNK - budget, decoded

    def end_step(self, batch: list[WorkItem]) -> None:
        """Forward the items that a step has finished and start the next step."""
        self.stepping = False
        if not self.alive:
            return
        self.forward(self, [item for item in batch if not item.stale])
        if not self.stepping:
            self.step()

    def fail(self) -> list[WorkItem]:
        """
        Mark the engine as failed; return the queued work that is lost.

        Items that the step in progress would finish are not among the returned work;
        `end_step` drops them.
        """
        lost = [*self.decoding, *self.prefilling, *self.blocked]
        self.alive = False
        for queue in (self.decoding, self.prefilling, self.blocked):
            queue.clear()
        self.reserved.clear()
        self.cached_prefixes.clear()
        self.kv_used = 0.0
        return lost
